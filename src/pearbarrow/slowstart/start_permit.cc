#include "pearbarrow/slowstart/start_permit.h"

namespace pearbarrow::slowstart {

std::string_view to_string(permit_verdict verdict) {
    switch (verdict) {
        case permit_verdict::granted:
            return "granted";
        case permit_verdict::refused:
            return "refused";
        case permit_verdict::no_reply:
            return "unanswered";
    }
    return "unknown";
}

}  // namespace pearbarrow::slowstart

#include "pearbarrow/suspects/suspect_messages.h"

namespace pearbarrow::suspects {

std::string_view to_string(end_evidence evidence) {
    switch (evidence) {
        case end_evidence::connection_refused:
            return "connection_refused";
        case end_evidence::replaced:
            return "replaced";
    }
    return "unknown";
}

nlohmann::json to_json(const suspect& known) {
    nlohmann::json ends = nlohmann::json::array();
    for (const suspected_end& end : known.ends) {
        ends.push_back({{"backend", end.backend},
                        {"request", end.request},
                        {"node", end.node},
                        {"evidence", to_string(end.evidence)},
                        {"age_ms", end.age_ms},
                        {"excused", end.is_excused}});
    }
    return ends;
}

}  // namespace pearbarrow::suspects

#include "pearbarrow/suspects/suspect_messages.h"

namespace pearbarrow::suspects {

std::string_view to_string(end_evidence evidence) {
    switch (evidence) {
        case end_evidence::connection_refused:
            return "connection_refused";
        case end_evidence::replaced:
            return "replaced";
        case end_evidence::sent:
            return "sent";
        case end_evidence::connection_lost:
            return "connection_lost";
        case end_evidence::silent:
            return "silent";
        case end_evidence::node_unreachable:
            return "node_unreachable";
        case end_evidence::error_response:
            return "error_response";
        case end_evidence::reserved:
            return "reserved";
    }
    return "unknown";
}

bool is_proof(end_evidence evidence) {
    return evidence == end_evidence::connection_refused || evidence == end_evidence::replaced;
}

bool is_open(end_evidence evidence) {
    return evidence == end_evidence::sent || evidence == end_evidence::reserved;
}

nlohmann::json to_json(const suspect& known) {
    nlohmann::json attempts = nlohmann::json::array();
    for (const std::vector<suspected_end>* list : {&known.ends, &known.unproved}) {
        for (const suspected_end& end : *list) {
            attempts.push_back({{"backend", end.backend},
                                {"request", end.request},
                                {"node", end.node},
                                {"evidence", to_string(end.evidence)},
                                {"age_ms", end.age_ms},
                                {"excused", end.is_excused}});
        }
    }
    return attempts;
}

}  // namespace pearbarrow::suspects

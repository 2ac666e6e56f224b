#include "pearbarrow/operator/control_output.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::operators {
namespace {

constexpr std::size_t column_gap = 2;
constexpr std::size_t indent_width = 2;

/// A member as text: strings without quotes, "-" for what is absent or null.
std::string cell(const nlohmann::json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string joined(const nlohmann::json& items) {
    std::string text;
    for (const auto& item : items) {
        text +=
            (text.empty() ? "" : ",") + (item.is_string() ? item.get<std::string>() : item.dump());
    }
    return text.empty() ? "-" : text;
}

std::string labels_text(const nlohmann::json& object) {
    std::string text;
    const auto labels = object.find("labels");
    if (labels != object.end() && labels->is_object()) {
        for (const auto& [key, value] : labels->items()) {
            text += fmt::format("{}{}={}", text.empty() ? "" : ",", key,
                                value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text.empty() ? "-" : text;
}

/// Members one a line, inner objects and lists indented below their name.
void append_tree(const nlohmann::json& value, std::size_t depth, std::string& text) {
    const std::string indent(depth * indent_width, ' ');
    if (value.is_object()) {
        for (const auto& [key, member] : value.items()) {
            if (member.is_structured() && !member.empty()) {
                text += fmt::format("{}{}:\n", indent, key);
                append_tree(member, depth + 1, text);
            } else {
                text += fmt::format("{}{}: {}\n", indent, key, cell(value, key.c_str()));
            }
        }
    } else if (value.is_array()) {
        for (const auto& member : value) {
            text += fmt::format("{}- ", indent);
            text +=
                member.is_structured() ? member.dump() : joined(nlohmann::json::array({member}));
            text += "\n";
        }
    } else {
        text += fmt::format("{}{}\n", indent, value.dump());
    }
}

const nlohmann::json& member(const nlohmann::json& object, const char* name) {
    static const nlohmann::json nothing = nlohmann::json::array();
    const auto found = object.find(name);
    return found == object.end() ? nothing : *found;
}

}  // namespace

text_table::text_table(std::vector<std::string> headings) {
    rows_.push_back(std::move(headings));
}

void text_table::add(std::vector<std::string> row) {
    row.resize(rows_.front().size());
    rows_.push_back(std::move(row));
}

std::string text_table::text() const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column + 1 < row.size(); ++column) {
            text += fmt::format("{:<{}}", row[column], widths[column] + column_gap);
        }
        text += row.back() + "\n";
    }
    return text;
}

std::string objects_table(const nlohmann::json& list) {
    text_table table({"KIND", "NAME", "LABELS"});
    for (const auto& item : member(list, "resources")) {
        table.add({cell(item, "kind"), cell(item, "name"), labels_text(item)});
    }
    return fmt::format("{}configuration version {}\n", table.text(), cell(list, "version"));
}

std::string nodes_table(const nlohmann::json& nodes) {
    text_table table({"NODE", "STATE", "ZONE", "REGION", "DRAINING", "DISK", "VERSION", "CALLERS"});
    for (const auto& node : member(nodes, "nodes")) {
        table.add({cell(node, "node"), cell(node, "state"), cell(node, "zone"),
                   cell(node, "region"), cell(node, "draining"), cell(node, "has_disk"),
                   cell(node, "version"), cell(node, "caller_address")});
    }
    return table.text();
}

std::string shards_table(const nlohmann::json& shards) {
    text_table table({"SHARD", "OWNER", "STATE", "PROGRAMS", "BALLOT", "COMMITTED", "REPLICAS"});
    for (const auto& shard : member(shards, "shards")) {
        table.add({cell(shard, "shard"), cell(shard, "owner"), cell(shard, "state"),
                   cell(shard, "programs"), cell(shard, "ballot_round"),
                   cell(shard, "commit_index"), joined(member(shard, "replicas"))});
    }
    return table.text();
}

std::string status_text(const nlohmann::json& status) {
    std::string text;
    append_tree(status, 0, text);
    return text;
}

std::string change_text(const nlohmann::json& change) {
    return fmt::format("version {}: {} created, {} changed, {} removed, {} unchanged\n",
                       cell(change, "version"), cell(change, "created"), cell(change, "changed"),
                       cell(change, "removed"), cell(change, "unchanged"));
}

std::string explanation_text(const nlohmann::json& explanation) {
    auto text = fmt::format("call {} of program {}\n", cell(explanation, "call"),
                            cell(explanation, "program"));
    if (!explanation.value("state", "").empty()) {
        text += fmt::format(
            "state: {}{}\n", cell(explanation, "state"),
            explanation.contains("reason") ? ", reason: " + explanation.value("reason", "") : "");
    }
    std::size_t number = 0;
    for (const auto& decision : member(explanation, "decisions")) {
        text += fmt::format("decision {}\n", ++number);
        append_tree(decision, 1, text);
    }
    return number == 0 ? text + "no decision is recorded\n" : text;
}

std::string verification_text(const nlohmann::json& verification) {
    std::string text;
    for (const auto& decision : member(verification, "decisions")) {
        const bool matches = decision.value("matches", false);
        text += fmt::format("{}: {}\n", cell(decision, "decision"),
                            matches ? "follows from its recorded inputs" : "DIFFERS");
        if (!matches) {
            text += fmt::format("  recorded:   {}\n  recomputed: {}\n", cell(decision, "recorded"),
                                cell(decision, "recomputed"));
        }
    }
    return text + (verification.value("verified", false) ? "verified\n" : "not verified\n");
}

}  // namespace pearbarrow::operators

/// What pearbarrowctl prints: tables for people, JSON for programs.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace pearbarrow::operators {

/// Rows under headings, columns as wide as their widest cell.
class text_table {
  public:
    explicit text_table(std::vector<std::string> headings);
    void add(std::vector<std::string> row);
    std::string text() const;

  private:
    std::vector<std::vector<std::string>> rows_;
};

/// Each takes the JSON of the operators' API.
std::string objects_table(const nlohmann::json& list);
std::string nodes_table(const nlohmann::json& nodes);
std::string shards_table(const nlohmann::json& shards);
std::string status_text(const nlohmann::json& status);
std::string change_text(const nlohmann::json& change);
std::string explanation_text(const nlohmann::json& explanation);
std::string verification_text(const nlohmann::json& verification);

}  // namespace pearbarrow::operators

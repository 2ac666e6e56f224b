/// JSON bodies of etcd v3's gateway. Internal to `platform`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/platform/key_value_client.h"

namespace pearbarrow::platform {

std::string encode_base64(std::string_view bytes);
absl::StatusOr<std::string> decode_base64(std::string_view text);

nlohmann::json to_etcd(const range_request& request);
nlohmann::json to_etcd(const put_operation& request);
nlohmann::json to_etcd(const delete_operation& request);
nlohmann::json to_etcd(const transaction& request);
nlohmann::json to_etcd(const watch_request& request);

/// Each fails with kInternal, reason `malformed_answer`, on a body that is not what it reads.
absl::StatusOr<range_result> read_range(const nlohmann::json& body);
absl::StatusOr<transaction_result> read_transaction(const nlohmann::json& body);
absl::StatusOr<lease_grant> read_lease(const nlohmann::json& body);

/// One line of a watch.
struct watch_message {
    std::vector<watch_event> events;
    std::int64_t revision = 0;
    bool cancelled = false;
    /// Above 0: the watch asked for revisions that the service has forgotten.
    std::int64_t compact_revision = 0;
};
absl::StatusOr<watch_message> read_watch(std::string_view line);

}  // namespace pearbarrow::platform

#include "pearbarrow/node/platform_configuration_store.h"

#include <utility>

namespace pearbarrow::node {

namespace {

platform::key_value_client_options client_options(const settings::node_settings& settings) {
    platform::key_value_client_options options;
    for (const settings::ip_endpoint& member : settings.platform.key_value) {
        options.endpoints.push_back({member.address, member.port});
    }
    return options;
}

}  // namespace

platform_configuration_store::platform_configuration_store(node_context& context)
    : context_(context),
      client_(platform::make_key_value_client(context.loop, context.clock, context.http,
                                              client_options(context.settings))) {}

platform_configuration_store::~platform_configuration_store() = default;

void platform_configuration_store::connect(configuration_event_sink sink) {
    log_ = std::make_unique<platform::config_log_store>(*client_, context_.settings.cluster,
                                                        std::move(sink));
}

}  // namespace pearbarrow::node

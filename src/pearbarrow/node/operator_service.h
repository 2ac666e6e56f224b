/// What the operators' API asks of a node: objects, drains, explanations, status.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/node/configuration_service.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/ownership_director.h"
#include "pearbarrow/node/peer_router.h"
#include "pearbarrow/operator/operator_backend.h"

namespace pearbarrow::node {

/// Why a node can't serve yet, as a reason code; empty when it can.
using readiness_check = std::function<std::string()>;

class operator_service final : public operators::operator_backend {
  public:
    operator_service(node_context& context, membership_service& membership,
                     configuration_service& configuration, ownership_director& ownership,
                     peer_router& router, readiness_check not_ready_reason);

    /// Registers the peer method `node_drain`.
    void register_methods();

    void list_resources(std::string kind,
                        operators::answer<operators::resource_list> done) override;
    void apply(operators::apply_request request,
               operators::answer<operators::apply_result> done) override;
    void label(operators::label_request request,
               operators::answer<operators::apply_result> done) override;
    void drain(operators::drain_request request,
               operators::answer<operators::apply_result> done) override;
    void explain(operators::call_reference call,
                 operators::answer<operators::call_explanation> done) override;
    void verify(operators::call_reference call,
                operators::answer<operators::call_verification> done) override;
    std::vector<operators::node_report> nodes() const override;
    std::vector<operators::shard_report> shards() const override;
    operators::cluster_status status() const override;

  private:
    using record_answer = operators::answer<wire::explain_view>;

    void propose(config::change change, operators::apply_result counted,
                 operators::answer<operators::apply_result> done);
    void drain_node(const operators::drain_request& request,
                    operators::answer<operators::apply_result> done);
    void drain_back_end(const operators::drain_request& request,
                        operators::answer<operators::apply_result> done);
    void fetch_records(const operators::call_reference& call, record_answer done);

    node_context& context_;
    membership_service& membership_;
    configuration_service& configuration_;
    ownership_director& ownership_;
    peer_router& router_;
    readiness_check not_ready_reason_;
    base::instant started_;
};

}  // namespace pearbarrow::node

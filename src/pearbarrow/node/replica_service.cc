#include "pearbarrow/node/replica_service.h"

#include <algorithm>
#include <filesystem>
#include <utility>
#include <vector>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/node/replica_reset_message.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::node {

namespace {

constexpr net::method_number journal_methods[] = {
    wire::journal_prepare, wire::journal_append,        wire::journal_read,  wire::journal_snapshot,
    wire::journal_install, wire::journal_read_retained, wire::journal_status};

}  // namespace

replica_service::replica_service(node_context& context) : context_(context) {}
replica_service::~replica_service() = default;

absl::Status replica_service::open() {
    for (const net::method_number method : journal_methods) {
        register_method(method);
    }
    context_.rpc.register_method(wire::journal_reset, [this](auto payload, auto responder) {
        reset_shard(payload, std::move(responder));
    });
    if (!context_.settings.data_folder.has_value()) {
        return absl::OkStatus();
    }
    journal::rocksdb_store_options options;
    options.folder = (std::filesystem::path(*context_.settings.data_folder) / "journal").string();
    options.new_identity = context_.random.hex_id();
    options.block_cache_bytes = context_.settings.limits.storage_cache_bytes / 2;
    options.write_buffer_bytes = context_.settings.limits.storage_cache_bytes / 2;
    options.post = [&loop = context_.loop](std::function<void()> task) {
        loop.post(std::move(task));
    };
    auto store = journal::open_rocksdb_replica_store(std::move(options));
    if (!store.ok()) {
        return store.status();
    }
    store_ = *std::move(store);
    replica_ = std::make_unique<journal::replica>(context_.self(), *store_);
    return replica_->open();
}

void replica_service::register_method(net::method_number method) {
    context_.rpc.register_method(
        method,
        [this, method](std::string_view payload, std::shared_ptr<net::peer_responder> responder) {
            handle(method, payload, std::move(responder));
        });
}

void replica_service::handle(net::method_number method, std::string_view payload,
                             std::shared_ptr<net::peer_responder> responder) {
    if (replica_ == nullptr) {
        responder->fail(base::make_error(
            absl::StatusCode::kFailedPrecondition, "this node has no data folder",
            {.step = "journal", .peer = context_.self().value(), .reason = "no_journal_storage"}));
        return;
    }
    auto request = wire::decode_journal_request(method, payload);
    if (!request.ok()) {
        responder->fail(request.status());
        return;
    }
    replica_->handle(*request, [responder](const wire::journal_reply& reply) {
        responder->finish(wire::encode(reply));
    });
    flush_soon();
}

void replica_service::reset_shard(std::string_view payload,
                                  std::shared_ptr<net::peer_responder> responder) {
    const auto message = wire::decode<replica_reset_message>(payload);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    const base::shard_id shard = message->shard;
    const std::vector<base::shard_id> corrupt =
        has_store() ? replica_->corrupt_shards() : std::vector<base::shard_id>{};
    const bool is_corrupt = std::find(corrupt.begin(), corrupt.end(), shard) != corrupt.end();
    if (!is_corrupt || replica_->member(shard) != message->member) {
        responder->fail(base::make_error(
            absl::StatusCode::kFailedPrecondition, "the replica is not corrupt",
            {.step = "journal", .peer = context_.self().value(), .reason = "not_corrupt"}));
        return;
    }
    base::log(base::log_level::warning, "corrupt_replica_reset", {{"shard", shard.value()}});
    replica_->reset_shard(shard, [this, shard, responder](const absl::Status& status) {
        if (status.ok()) {
            responder->finish(wire::encode(replica_->member(shard)));
        } else {
            responder->fail(status);
        }
    });
    flush_soon();
}

void replica_service::flush_soon() {
    if (flush_posted_) {
        return;
    }
    flush_posted_ = true;
    context_.loop.post([this, alive = std::weak_ptr<int>(alive_)] {
        if (alive.expired()) {
            return;
        }
        flush_posted_ = false;
        replica_->flush();
    });
}

}  // namespace pearbarrow::node

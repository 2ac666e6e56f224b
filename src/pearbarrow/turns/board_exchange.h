/// Storage members of different replica groups tell each other of the load that nodes report.
///
/// A node reports its load with the messages of a turn, to the members of the turn's group only,
/// and takes the totals from one of them. Protocol: a member keeps a question open at one member of
/// each other group, in its own zone where there is one ("what was reported since?"). The answer
/// comes with the next report; the member asks again after a pause, in which more gather. Only what
/// nodes reported to the answering member itself is passed on, so nothing goes round.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_board.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

struct board_exchange_options {
    base::node_id self;
    std::string zone;
    /// Drawn at the start of the process, not 0.
    std::uint64_t life = 1;
    /// Between an answer and the next question: the most that it adds to a report's age.
    base::milliseconds pause{100};
    /// How long a question is held before it is answered with nothing.
    base::milliseconds hold{2'000};
    /// What an answer may take beyond the hold before another member is asked.
    base::milliseconds answer_slack{500};
    /// After a question that failed.
    base::milliseconds retry{200};
};

class board_exchange {
  public:
    board_exchange(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                   dispatch::load_board& board, board_exchange_options options);
    ~board_exchange();
    board_exchange(const board_exchange&) = delete;
    board_exchange& operator=(const board_exchange&) = delete;

    /// Call with each view of the whole fleet.
    void set_view(const directory::storage_view& view);
    /// Other groups of which a member answers.
    std::size_t connected_groups() const;

  private:
    /// A question of another member that waits for the next report.
    struct waiting_question {
        std::uint64_t after = 0;
        std::shared_ptr<net::peer_responder> responder;
        std::unique_ptr<net::timer_handle> limit;
    };
    /// What is asked of one other group.
    struct group_question {
        /// In the order in which they are asked, the present one at `current`.
        std::vector<directory::storage_member> sources;
        std::size_t current = 0;
        /// The answering process's life, and how far it has been read.
        std::uint64_t life = 0;
        std::uint64_t through = 0;
        bool was_answered = false;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> next;
    };

    std::vector<directory::storage_member> sources_of(const directory::storage_view& view,
                                                      std::uint32_t group) const;
    void ask(std::uint32_t group);
    void ask_later(std::uint32_t group, base::milliseconds delay);
    void take_answer(std::uint32_t group, const absl::StatusOr<std::string>& payload);
    void take_question(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void answer(const waiting_question& question);
    void answer_waiting();

    net::event_loop& loop;
    net::peer_rpc& rpc;
    const base::clock& clock;
    dispatch::load_board& board;
    board_exchange_options options;
    std::map<std::uint32_t, group_question> questions;
    std::list<waiting_question> waiting;
};

}  // namespace pearbarrow::turns

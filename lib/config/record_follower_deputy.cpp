// Reads of the store by nodes that are no readers, for readers that the store turns away.

#include "chestnutstand/config/record_follower.h"

#include "chestnutstand/support/log.h"
#include "chestnutstand/support/str_cat.h"

#include <utility>

namespace chestnutstand {

void record_follower::set_deputy_candidates(
    const std::function<std::vector<deputy_candidate>()>& list)
{
    list_deputy_candidates_ = list;
}

void record_follower::expect_lead_response()
{
    if (role_ != reader_role::lead) {
        return;
    }
    const milliseconds wait = next_offset_ ? poll_wait() : milliseconds{0};
    loop_.post_after(wait + options_.overdue_after, [this, number = read_number_] {
        if (reading_ && number == read_number_) {
            search_deputy();
        }
    });
}

void record_follower::search_deputy()
{
    if (role_ == reader_role::lead && list_deputy_candidates_ && deputies_.start()) {
        ask_deputies(++search_number_);
    }
}

void record_follower::ask_deputies(std::uint64_t search)
{
    if (!deputies_.active() || search != search_number_) {
        return;
    }
    fetch_request request = make_fetch_request();
    request.read_source = true;
    request.source_offset = known_offset_;
    request.source_era = known_era_;
    for (const auto& peer : deputies_.next_round(list_deputy_candidates_())) {
        peers_.fetch_changes(peer, request, options_.fetch_timeout,
                             [this, peer](absl::StatusOr<fetched_changes> changes) {
                                 loop_.post([this, peer, changes = std::move(changes)] {
                                     finish_source_fetch(peer, changes);
                                 });
                             });
    }
    loop_.post_after(deputies_.interval(), [this, search] { ask_deputies(search); });
}

void record_follower::finish_source_fetch(const node_reference& peer,
                                          const absl::StatusOr<fetched_changes>& changes)
{
    const bool read = changes.ok() && changes->source_read;
    ++stats_.counter(str_cat("chestnutstand_document_deputy_requests_total{result=\"",
                             read ? "read" : "failed", "\"}"));
    if (changes.ok()) {
        apply_fetched(*changes);
    }
    const auto before = deputies_.deputy();
    deputies_.on_reply(peer, read);
    if (deputies_.deputy() != before) {
        log_event(log_level::warning,
                  read ? "deputy reads the document store"
                       : "deputy cannot read the document store",
                  {{"peer", peer.address}, {"version", version_}});
    }
    if (before && !deputies_.deputy()) {
        ask_deputies(++search_number_);
    }
}

void record_follower::handle_source_fetch(const fetch_request& request,
                                          const peer_client::changes_done& done)
{
    const time_point now = ms_clock::now();
    const milliseconds fresh_for = options_.lead_read_wait + options_.overdue_after;
    if (is_reader() && !is_standby() && progress_.answered_at &&
        now - *progress_.answered_at <= fresh_for) {
        deputy_until_ = now + options_.deputy_lease;
        done(source_changes(request));
        return;
    }
    waiting_peers_.push_back({request, done});
    if (reading_) {
        if (next_offset_ && is_standby()) {
            replace_read("a peer cannot read the document store");
        }
        return;
    }
    // The records before the peer's offset are in the documents of both.
    if (!is_reader()) {
        next_offset_.reset();
        if (request.source_offset != 0 && version_ >= request.from_offset) {
            next_offset_ = request.source_offset;
            offset_era_ = request.source_era;
        }
    }
    read();
}

fetched_changes record_follower::source_changes(const fetch_request& request) const
{
    fetched_changes changes = handle_fetch(request);
    changes.source_read = true;
    return changes;
}

void record_follower::answer_waiting_peers(const absl::Status& status)
{
    if (waiting_peers_.empty()) {
        return;
    }
    if (status.ok()) {
        deputy_until_ = ms_clock::now() + options_.deputy_lease;
    }
    for (const auto& peer : std::exchange(waiting_peers_, {})) {
        if (status.ok()) {
            peer.done(source_changes(peer.request));
        }
        else {
            peer.done(absl::UnavailableError("the document store cannot be read"));
        }
    }
}

} // namespace chestnutstand

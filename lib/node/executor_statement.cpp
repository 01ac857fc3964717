// Reads what the executor's upstream says of itself in its responses.

#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

#include <string_view>

namespace chestnutstand {
namespace {

bool is_set(std::optional<std::string_view> header)
{
    return header && !header->empty() && *header != "0" && *header != "false";
}

} // namespace

void executor::apply_rate_limit(time_point now)
{
    if (queue_) {
        queue_->set_rate_limit(statement_.rate_limit(), now);
    }
}

void executor::observe_upstream_state(const local_upstream& sender, const http_response& response)
{
    const auto named = find_header(response.headers, names_.upstream_rate_limit);
    const auto rate_limit = named ? parse_rate_limit(*named) : std::nullopt;
    if (named && !rate_limit) {
        log_event(log_level::warning, "rate limit of the upstream not readable",
                  {{"upstream", sender.id}, {"value", std::string{*named}}});
    }
    const bool leaves = is_set(find_header(response.headers, names_.upstream_leaving));
    bool limit_changed = false;
    bool leaving_is_new = false;
    {
        const std::lock_guard lock{mutex_};
        if (!statement_.is_of(sender.id, sender.born_ms)) {
            return;
        }
        limit_changed = (rate_limit || !named) && statement_.set_rate_limit(rate_limit);
        if (limit_changed) {
            apply_rate_limit(ms_clock::now());
        }
        leaving_is_new = leaves && statement_.set_leaving();
    }
    if (limit_changed) {
        log_event(log_level::info, "upstream changed its rate limit",
                  {{"upstream", sender.id},
                   {"limited", rate_limit.has_value()},
                   {"per_second", rate_limit.value_or(0.0)}});
    }
    if (leaving_is_new) {
        log_event(log_level::info, "upstream responses say that it leaves",
                  {{"upstream", sender.id}, {"born_ms", sender.born_ms}});
        if (departed_) {
            departed_(sender.id, sender.born_ms);
        }
    }
}

void executor::observe_verification(const local_upstream& verified, const http_response& response)
{
    {
        const std::lock_guard lock{mutex_};
        statement_.set_process(verified.id, verified.born_ms);
    }
    observe_upstream_state(verified, response);
}

} // namespace chestnutstand

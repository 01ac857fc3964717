#include "chestnutstand/keys/executor_keys.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {

bool executor_keys::is_candidate(const idempotency_key& key) const
{
    return std::any_of(key.candidates.begin(), key.candidates.end(),
                       [&](const auto& node) { return node.instance == instance_; });
}

execution_decision executor_keys::enqueue(std::string_view key_text, const fingerprint& request,
                                          call_done done, time_point now)
{
    using kind = execution_decision::kind;
    const auto key = decode(key_text, secret_);
    if (!key.ok()) {
        return {kind::answered, {}, not_run(reason_code::malformed_key)};
    }
    if (!is_candidate(*key)) {
        return {kind::answered, {}, not_run(reason_code::wrong_instance)};
    }
    const key_id id = id_of(*key);
    const std::lock_guard lock{mutex_};
    key_admission admission = table_.admit(id, request, std::move(done), now);
    switch (admission.status) {
    case key_admission::kind::admitted:
        return {kind::run, id, {}};
    case key_admission::kind::attached:
        return {kind::attached, id, {}};
    case key_admission::kind::answered:
        break;
    }
    return {kind::answered, id, std::move(admission.result)};
}

bool executor_keys::start(const key_id& id)
{
    const std::lock_guard lock{mutex_};
    return table_.start(id);
}

void executor_keys::refuse(const key_id& id, reason_code reason, time_point now)
{
    released_waiters released;
    {
        const std::lock_guard lock{mutex_};
        table_.close(id, key_state::not_run, reason, now, released);
    }
    released.notify();
}

void executor_keys::finish(const key_id& id, call_result result, time_point now)
{
    released_waiters released;
    {
        const std::lock_guard lock{mutex_};
        released = table_.finish(id, std::move(result), now);
    }
    released.notify();
}

absl::StatusOr<settle_result> executor_keys::settle(std::string_view key_text, time_point now)
{
    const auto key = decode(key_text, secret_);
    if (!key.ok()) {
        return key.status();
    }
    if (!is_candidate(*key)) {
        return settle_result{settle_state::wrong_instance, {}, reason_code::wrong_instance, {}};
    }
    released_waiters released;
    key_state state = key_state::absent;
    call_result result;
    std::optional<fingerprint> request;
    {
        const std::lock_guard lock{mutex_};
        state =
            table_.close(id_of(*key), key_state::fenced, reason_code::key_fenced, now, released);
        result = table_.result(id_of(*key));
        request = table_.request(id_of(*key));
    }
    released.notify();
    switch (state) {
    case key_state::completed:
        return settle_result{settle_state::completed, std::move(result.response), reason_code::none,
                             request};
    case key_state::queued:
    case key_state::running:
        return settle_result{settle_state::running, {}, reason_code::key_running, request};
    case key_state::not_run:
    case key_state::fenced:
        return settle_result{settle_state::fenced, {}, result.reason, request};
    case key_state::unknown:
    case key_state::expired:
        return settle_result{settle_state::unknown, {}, result.reason, request};
    case key_state::absent:
        break;
    }
    return absl::ResourceExhaustedError("key table is full; the key was not fenced");
}

} // namespace chestnutstand

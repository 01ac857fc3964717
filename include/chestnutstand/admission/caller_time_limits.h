#pragma once

#include "chestnutstand/admission/time_limit_profile.h"
#include "chestnutstand/transport/call.h"

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

namespace chestnutstand {

/// Time limits that callers name, by service and priority class. Thread-safe.
class caller_time_limits {
public:
    /// Time that the caller has waited in earlier tries of the request; zero for a first try and
    /// for a call without a time limit.
    milliseconds time_spent(const service_call& call)
    {
        if (call.caller_time_limit <= milliseconds{0}) {
            return milliseconds{0};
        }
        const std::lock_guard lock{mutex_};
        if (profiles_.size() >= max_profiles) {
            // Most of them belong to classes that the document no longer has.
            profiles_.clear();
        }
        return profiles_[call.service + '\n' + call.priority].time_spent(call.caller_time_limit);
    }

private:
    static constexpr std::size_t max_profiles = 4'096;

    std::mutex mutex_;
    std::unordered_map<std::string, time_limit_profile> profiles_;
};

} // namespace chestnutstand

// What the platform does with a process that exceeds the memory of its machine.
#pragma once

#include "deployment.h"

#include <string>
#include <vector>

namespace review {

/// Ends each node whose resident memory exceeds the limit of its machine, and starts each node that
/// has ended again after a delay. Used by one thread.
class memory_watch {
public:
    explicit memory_watch(deployment& played);

    /// Looks at all nodes once. Writes their memory, and the text, to the record every five
    /// seconds.
    void enforce(const std::string& text);
    /// Number of machines whose node has ended at least that often.
    int machines_with(int ends) const;
    /// Writes the number of ends and the highest memory of each machine to the record.
    void summarize();

private:
    struct state {
        machine* watched = nullptr;
        int ends = 0;
        double peak_mib = 0.0;
        double restart_at_s = 0.0;
    };

    void enforce_on(state& looked_at);

    deployment& played_;
    std::vector<state> states_;
    double next_line_s_ = 0.0;
};

} // namespace review

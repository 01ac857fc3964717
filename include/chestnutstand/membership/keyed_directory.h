#pragma once

#include "chestnutstand/config/keyed_store.h"
#include "chestnutstand/membership/member_directory.h"
#include "chestnutstand/support/control_loop.h"

#include <memory>

namespace chestnutstand {

/// One record per node address in the keyed store. A process that starts again replaces the record
/// of the one before it, so that the number of records follows the number of VMs.
class keyed_directory final : public member_directory,
                              public std::enable_shared_from_this<keyed_directory> {
public:
    keyed_directory(control_loop& loop, keyed_store& store) : loop_{loop}, store_{store} {}

    void refresh(done finished) override;
    void append(const member& self, done finished) override;
    void purge(time_point now, milliseconds retention) override;
    std::optional<std::size_t> sufficient_record_count() const override;

private:
    void take(const keyed_page& page);

    control_loop& loop_;
    keyed_store& store_;
};

} // namespace chestnutstand

#pragma once

#include "chestnutstand/transport/memory_budget.h"

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace chestnutstand {

/// Immutable body of a request or a response. Copies share the bytes, so that a node holds a body
/// once, however many attempts, queues and messages refer to it. The bytes can be counted against a
/// memory_budget; they are given back when the last copy is destroyed.
class shared_body {
public:
    shared_body() = default;
    // Implicit, as a body is text in most places that create one.
    shared_body(std::string bytes) : shared_body{std::move(bytes), memory_lease{}} {}
    shared_body(const char* text) : shared_body{std::string{text}} {}
    shared_body(std::string bytes, memory_lease lease)
    {
        if (!bytes.empty()) {
            content_ = std::make_shared<content>(content{std::move(bytes), std::move(lease)});
        }
    }

    const std::string& str() const
    {
        static const std::string none;
        return content_ ? content_->bytes : none;
    }
    std::string_view view() const { return str(); }
    operator const std::string&() const { return str(); }
    operator std::string_view() const { return view(); }

    bool empty() const { return str().empty(); }
    std::size_t size() const { return str().size(); }
    const char* data() const { return str().data(); }
    const char* c_str() const { return str().c_str(); }
    const char* begin() const { return data(); }
    const char* end() const { return data() + size(); }
    std::size_t find(std::string_view text, std::size_t from = 0) const
    {
        return view().find(text, from);
    }

    /// Removes the bytes from this copy: without a copy of them if there is no other one.
    std::string take()
    {
        std::string bytes;
        if (content_ && content_.use_count() == 1) {
            bytes = std::move(content_->bytes);
        }
        else {
            bytes = str();
        }
        content_.reset();
        return bytes;
    }

    /// Removes a prefix: without a copy of the bytes if there is no other copy of this body.
    void remove_prefix(std::size_t count)
    {
        memory_lease lease;
        if (content_ && content_.use_count() == 1) {
            lease = std::move(content_->lease);
        }
        std::string bytes = take();
        bytes.erase(0, count);
        *this = shared_body{std::move(bytes), std::move(lease)};
    }

    friend bool operator==(const shared_body& left, const shared_body& right)
    {
        return left.view() == right.view();
    }
    friend std::ostream& operator<<(std::ostream& out, const shared_body& body)
    {
        return out << body.view();
    }

private:
    struct content {
        std::string bytes;
        memory_lease lease;
    };

    std::shared_ptr<content> content_;
};

} // namespace chestnutstand

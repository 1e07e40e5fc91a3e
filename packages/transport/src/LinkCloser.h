#pragma once

#include <memory>

namespace kumquatbank {

class PeerLink;

/// Closes peer links on a thread of its own. nng_close() of nng 1.5.2 can wait forever when many connections close
/// at once; a request must not wait with it. Thread-safe.
class LinkCloser {
public:
    LinkCloser();

    /// Waits at most a second for links that are still to be closed, and leaves a close that hangs behind.
    ~LinkCloser();
    LinkCloser(const LinkCloser&) = delete;
    LinkCloser& operator=(const LinkCloser&) = delete;

    /// Opens nothing and does not wait: the link is closed soon after its last owner has released it.
    std::shared_ptr<PeerLink> manage(std::unique_ptr<PeerLink> link);

private:
    struct Queue;
    std::shared_ptr<Queue> m_queue; ///< Shared with the thread, which may outlive this object.
};

} // namespace kumquatbank

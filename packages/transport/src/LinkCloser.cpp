#include "LinkCloser.h"

#include "PeerLink.h"
#include "SocketCloser.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace kumquatbank {

struct LinkCloser::Queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::unique_ptr<PeerLink>> links;
    bool isClosing = false;
    bool isStopped = false;

    void add(std::unique_ptr<PeerLink> link)
    {
        const std::lock_guard lock(mutex);
        links.push_back(std::move(link));
        changed.notify_all();
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (true) {
            changed.wait(lock, [this] { return !links.empty() || isStopped; });
            if (links.empty())
                return;
            auto link = std::move(links.front());
            links.pop_front();
            isClosing = true;
            lock.unlock();
            link.reset();
            lock.lock();
            isClosing = false;
            changed.notify_all();
        }
    }
};

LinkCloser::LinkCloser()
    : m_queue(std::make_shared<Queue>())
{
    std::thread([queue = m_queue] { queue->run(); }).detach();
}

LinkCloser::~LinkCloser()
{
    std::unique_lock lock(m_queue->mutex);
    m_queue->isStopped = true;
    m_queue->changed.notify_all();
    awaitClose(lock, m_queue->changed, [this] { return m_queue->links.empty() && !m_queue->isClosing; });
}

std::shared_ptr<PeerLink> LinkCloser::manage(std::unique_ptr<PeerLink> link)
{
    return { link.release(), [queue = m_queue](PeerLink* it) { queue->add(std::unique_ptr<PeerLink>(it)); } };
}

} // namespace kumquatbank

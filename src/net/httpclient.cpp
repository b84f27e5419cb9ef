#include "net/httpclient.h"

#include "net/curlexchange.h"

#include <curl/curl.h>
#include <future>
#include <mutex>
#include <set>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>

namespace Basilbend
{

namespace Internal
{

/// Interval of the check for exchanges whose silence timeout has expired.
constexpr Milliseconds SilenceCheckPeriod{250};
constexpr long MaxPooledConnections = 4096;

void initCurlOnce()
{
    static const auto code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK) {
        throw std::runtime_error("curl_global_init failed");
    }
}

}

class HttpClient::Private
{
public:
    Private()
    {
        Internal::initCurlOnce();
        m_multi = curl_multi_init();
        m_epollFd = epoll_create1(EPOLL_CLOEXEC);
        m_wakeUpFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
        if (!m_multi || m_epollFd < 0 || m_wakeUpFd < 0) {
            throw std::runtime_error("cannot create the curl multi handle, epoll instance or eventfd of the HTTP client");
        }
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Private::socketChanged);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Private::timerChanged);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, Internal::MaxPooledConnections);
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = m_wakeUpFd;
        epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_wakeUpFd, &event);
        m_thread = std::thread([this] { run(); });
    }

    ~Private()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        wakeUp();
        m_thread.join();
        // Cancels requests that callbacks sent while the thread was stopping.
        for (bool left = true; left;) {
            processQueuedCalls();
            const std::lock_guard lock(m_mutex);
            left = !m_queuedExchanges.empty();
        }
        curl_multi_cleanup(m_multi);
        close(m_wakeUpFd);
        close(m_epollFd);
    }

    std::uint64_t send(HttpClientRequest request, DoneCallback done, DataCallback data)
    {
        std::uint64_t number = 0;
        auto exchange = std::make_unique<Internal::CurlExchange>(std::move(request), std::move(done), std::move(data));
        {
            const std::lock_guard lock(m_mutex);
            number = ++m_lastNumber;
            m_queuedExchanges.emplace_back(number, std::move(exchange));
        }
        wakeUp();
        return number;
    }

    void cancel(std::uint64_t number)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_queuedCancellations.push_back(number);
        }
        wakeUp();
    }

private:
    using Clock = std::chrono::steady_clock;

    static int socketChanged(CURL * /*easy*/, curl_socket_t fd, int what, void *self, void *socketData)
    {
        auto *d = static_cast<Private *>(self);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(d->m_epollFd, EPOLL_CTL_DEL, fd, nullptr);
            return 0;
        }
        epoll_event event{};
        event.events = (what & CURL_POLL_IN ? EPOLLIN : 0U) | (what & CURL_POLL_OUT ? EPOLLOUT : 0U);
        event.data.fd = fd;
        if (socketData) {
            epoll_ctl(d->m_epollFd, EPOLL_CTL_MOD, fd, &event);
        } else {
            epoll_ctl(d->m_epollFd, EPOLL_CTL_ADD, fd, &event);
            curl_multi_assign(d->m_multi, fd, d);
        }
        return 0;
    }

    static int timerChanged(CURLM * /*multi*/, long timeoutMs, void *self)
    {
        auto *d = static_cast<Private *>(self);
        d->m_curlDeadline = timeoutMs < 0 ? Clock::time_point::max() : Clock::now() + Milliseconds(timeoutMs);
        return 0;
    }

    void wakeUp() const
    {
        const std::uint64_t one = 1;
        // Fails only if the eventfd counter is at its maximum, in which case the thread wakes up anyway.
        [[maybe_unused]] const auto n = write(m_wakeUpFd, &one, sizeof one);
    }

    void run()
    {
        constexpr int MaxEvents = 256;
        epoll_event events[MaxEvents];
        while (processQueuedCalls()) {
            const int n = epoll_wait(m_epollFd, events, MaxEvents, pollTimeoutMs());
            int running = 0;
            for (int i = 0; i < n; ++i) {
                if (events[i].data.fd == m_wakeUpFd) {
                    std::uint64_t count = 0;
                    [[maybe_unused]] const auto size = read(m_wakeUpFd, &count, sizeof count);
                    continue;
                }
                const auto mask = events[i].events;
                const int action =
                    (mask & (EPOLLIN | EPOLLHUP) ? CURL_CSELECT_IN : 0) | (mask & EPOLLOUT ? CURL_CSELECT_OUT : 0) | (mask & EPOLLERR ? CURL_CSELECT_ERR : 0);
                curl_multi_socket_action(m_multi, events[i].data.fd, action, &running);
            }
            if (Clock::now() >= m_curlDeadline) {
                m_curlDeadline = Clock::time_point::max();
                curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
            }
            expireSilentExchanges();
            processCompletedTransfers();
        }
    }

    int pollTimeoutMs() const
    {
        const auto next = m_exchanges.empty() ? m_curlDeadline : std::min(m_curlDeadline, m_nextSilenceCheck);
        if (next == Clock::time_point::max()) {
            return -1;
        }
        const auto span = std::chrono::ceil<Milliseconds>(next - Clock::now());
        return static_cast<int>(std::max<std::int64_t>(0, span.count()));
    }

    /// Applies the calls to send() and cancel() that other threads queued. Returns false if the client is stopping.
    bool processQueuedCalls()
    {
        std::vector<std::pair<std::uint64_t, std::unique_ptr<Internal::CurlExchange>>> added;
        std::vector<std::uint64_t> cancelled;
        bool stopping = false;
        {
            const std::lock_guard lock(m_mutex);
            added.swap(m_queuedExchanges);
            cancelled.swap(m_queuedCancellations);
            stopping = m_stopping;
        }
        for (auto &[number, exchange] : added) {
            auto *easy = exchange->easy();
            m_numberByHandle[easy] = number;
            m_exchanges.emplace(number, std::move(exchange));
            curl_multi_add_handle(m_multi, easy);
        }
        for (const auto number : cancelled) {
            finish(number, TransportFailure::Cancelled);
        }
        if (stopping) {
            while (!m_exchanges.empty()) {
                finish(m_exchanges.begin()->first, TransportFailure::Cancelled);
            }
        }
        return !stopping;
    }

    void expireSilentExchanges()
    {
        const auto now = Clock::now();
        if (now < m_nextSilenceCheck) {
            return;
        }
        m_nextSilenceCheck = now + Internal::SilenceCheckPeriod;
        std::vector<std::uint64_t> silent;
        for (const auto &[number, exchange] : m_exchanges) {
            if (exchange->isSilent(now)) {
                silent.push_back(number);
            }
        }
        for (const auto number : silent) {
            finish(number, TransportFailure::Silent);
        }
    }

    void processCompletedTransfers()
    {
        int left = 0;
        while (const auto *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const auto code = message->data.result;
            const auto it = m_numberByHandle.find(message->easy_handle);
            if (it != m_numberByHandle.end()) {
                const auto number = it->second;
                finish(number, m_exchanges.at(number)->failureOf(code));
            }
        }
    }

    void finish(std::uint64_t number, TransportFailure failure)
    {
        const auto it = m_exchanges.find(number);
        if (it == m_exchanges.end()) {
            return;
        }
        const auto exchange = std::move(it->second);
        m_exchanges.erase(it);
        m_numberByHandle.erase(exchange->easy());
        curl_multi_remove_handle(m_multi, exchange->easy());
        exchange->finish(failure);
    }

    CURLM *m_multi = nullptr;
    int m_epollFd = -1;
    int m_wakeUpFd = -1;
    std::mutex m_mutex;
    std::vector<std::pair<std::uint64_t, std::unique_ptr<Internal::CurlExchange>>> m_queuedExchanges;
    std::vector<std::uint64_t> m_queuedCancellations;
    std::uint64_t m_lastNumber = 0;
    bool m_stopping = false;
    std::unordered_map<std::uint64_t, std::unique_ptr<Internal::CurlExchange>> m_exchanges;
    std::unordered_map<CURL *, std::uint64_t> m_numberByHandle;
    Clock::time_point m_curlDeadline = Clock::time_point::max();
    Clock::time_point m_nextSilenceCheck = Clock::now();
    std::thread m_thread;
};

HttpClient::HttpClient()
    : m_d(std::make_unique<Private>())
{
}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::send(HttpClientRequest request, DoneCallback done, DataCallback data)
{
    return m_d->send(std::move(request), std::move(done), std::move(data));
}

void HttpClient::cancel(std::uint64_t exchange)
{
    m_d->cancel(exchange);
}

HttpClientResponse HttpClient::sendAndWait(HttpClientRequest request)
{
    std::promise<HttpClientResponse> promise;
    send(std::move(request), [&promise](HttpClientResponse response) { promise.set_value(std::move(response)); });
    return promise.get_future().get();
}

}

#include "net/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "net/clock.h"

namespace kch::net {
namespace {

using SteadyClock = std::chrono::steady_clock;

// A peer that acknowledges nothing for this long is gone, whatever the task.
constexpr unsigned kUnacknowledgedMs = 3000;
constexpr long kMaxIdleConnectionSeconds = 20;
constexpr long kMaxConnections = 4096;
constexpr std::size_t kMaxIdleHandles = 64;
constexpr int kMaxWaitMs = 1000;
// If this thread looks at a timeout later than this, it has been held up, and
// reads what has come meanwhile for as long before it gives the call up.
constexpr auto kHeldUp = std::chrono::milliseconds(20);
constexpr int kMaxEvents = 256;
// At a call, libcurl looks for lost connections among all that share a multi
// handle, and from the start again after each one that it finds. Hosts are
// spread over several, so that losing many does not hold the thread up.
constexpr std::size_t kShards = 32;
// Stands for the wake event in place of a shard.
constexpr std::uint32_t kNoShard = 0xffff'ffff;
constexpr unsigned kShardShift = 32;
constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
constexpr std::string_view kExpiredError = "expired before it was sent";

struct ListFree {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
struct EasyFree {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

using Easy = std::unique_ptr<CURL, EasyFree>;

// Multi handle of some of the hosts.
struct Shard {
  std::uint32_t index = 0;
  int epoll = -1;
  CURLM* multi = nullptr;
  std::optional<SteadyClock::time_point> due;  // libcurl's next timer
};

std::uint64_t EventData(std::uint32_t shard, int fd) {
  return (std::uint64_t{shard} << kShardShift) | static_cast<std::uint32_t>(fd);
}

struct Transfer {
  std::uint64_t number = 0;
  Shard* shard = nullptr;
  // The client's number of calls without a try, for libcurl's callback.
  std::uint64_t* unsent = nullptr;
  HttpCall call;
  HttpDone done;
  Easy easy;
  std::unique_ptr<curl_slist, ListFree> headers;
  HttpResult result;
  int tries = 0;  // that were allowed to send
  bool expired = false;
  bool looked_again = false;  // its deadline was put off to read what has come
  SteadyClock::time_point started;
  std::optional<SteadyClock::time_point> last_part;  // of the answer

  // Its time is over, although it may not have been given up yet.
  [[nodiscard]] bool Overdue() const {
    return this->call.stall_timeout_ms == 0 && this->call.timeout_ms > 0 &&
           SteadyClock::now() >=
               this->started + std::chrono::milliseconds(this->call.timeout_ms);
  }
  [[nodiscard]] bool HasDeadline() const {
    return this->call.timeout_ms > 0 || this->call.stall_timeout_ms > 0;
  }
  // When it is given up, unless more of an answer arrives before.
  [[nodiscard]] SteadyClock::time_point Deadline() const {
    using std::chrono::milliseconds;
    return this->call.stall_timeout_ms > 0 && this->last_part
               ? *this->last_part + milliseconds(this->call.stall_timeout_ms)
               : this->started + milliseconds(this->call.timeout_ms);
  }
  void NotePart() {
    if (!this->last_part && this->call.on_answer_begun) {
      this->call.on_answer_begun();
    }
    this->last_part = SteadyClock::now();
  }
};

bool Expired(const HttpCall& call) {
  return call.valid_until && Now() > *call.valid_until;
}

// Called before each try, once its connection exists. That can be long after
// the start: the host may be slow to accept, all its connections may be in use
// or this process may have been paused.
int OnRequest(void* user,
              char* /*remote_ip*/,
              char* /*local_ip*/,
              int /*remote_port*/,
              int /*local_port*/) {
  auto& transfer = *static_cast<Transfer*>(user);
  if (Expired(transfer.call) || transfer.Overdue()) {
    transfer.expired = true;
    return CURL_PREREQFUNC_ABORT;
  }
  if (transfer.tries++ == 0) {
    --*transfer.unsent;
  }
  return CURL_PREREQFUNC_OK;
}

std::size_t OnBody(char* data, std::size_t size, std::size_t n, void* user) {
  auto* const transfer = static_cast<Transfer*>(user);
  transfer->NotePart();
  transfer->result.body.append(data, size * n);
  return size * n;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t n, void* user) {
  static_cast<Transfer*>(user)->NotePart();
  const std::string_view line(data, size * n);
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string name(line.substr(0, colon));
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    std::string_view value = line.substr(colon + 1);
    const std::size_t first = value.find_first_not_of(" \t");
    const std::size_t last = value.find_last_not_of(" \t\r\n");
    value = first == std::string_view::npos
                ? std::string_view()
                : value.substr(first, last - first + 1);
    static_cast<Transfer*>(user)->result.headers[name] = std::string(value);
  }
  return size * n;
}

int OnSocket(void* /*user*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs,
             sizeof(kUnacknowledgedMs));
  return CURL_SOCKOPT_OK;
}

// A handle with the options that all calls share.
Easy MakeEasy() {
  Easy result(curl_easy_init());
  CURL* easy = result.get();
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnRequest);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleConnectionSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, 5L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, 1L);
  return result;
}

// Sets all options in which calls differ, since the handle may have served
// another call.
void Prepare(Transfer& transfer) {
  CURL* easy = transfer.easy.get();
  const HttpCall& call = transfer.call;
  const long fresh = call.new_connection ? 1 : 0;
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.connect_timeout_ms));
  // libcurl would end a call whose answer has come while this thread stood
  // still, so the client looks at timeouts itself.
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 0L);
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, fresh);
  if (call.method == "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, nullptr);
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
  }
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : call.headers) {
    std::string line = name;
    line += ": ";
    line += value;
    list = curl_slist_append(list, line.c_str());
  }
  transfer.headers.reset(list);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
}

void Finish(Transfer& transfer, CURLcode code) {
  CURL* easy = transfer.easy.get();
  HttpResult& result = transfer.result;
  result.repeated = transfer.tries > 1;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    result.code = static_cast<int>(status);
    result.status = CallStatus::kAnswered;
    return;
  }
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_off_t connect_us = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  // libcurl sends a request again if a reused connection turns out closed. The
  // bytes of the first try count even if the second one cannot connect or has
  // expired.
  const bool never_sent = transfer.tries == 0 ||
                          (!result.repeated && request_bytes == 0 &&
                           (code == CURLE_COULDNT_CONNECT || connect_us == 0));
  result.status = never_sent ? CallStatus::kNotSent : CallStatus::kBroken;
  result.error = never_sent && transfer.expired ? std::string(kExpiredError)
                                                : curl_easy_strerror(code);
}

// The part of a URL that names the host and its port.
std::string_view AuthorityOf(std::string_view url) {
  const std::size_t scheme = url.find("://");
  url.remove_prefix(scheme == std::string_view::npos ? 0 : scheme + 3);
  return url.substr(0, url.find('/'));
}

// How many connections of a shard stay open, in use or not. libcurl's own limit
// follows the number of open calls, so a quiet moment would close the
// connections to most hosts of a large fleet.
long ConnectionLimit(const HttpClient::Options& options) {
  long limit = kMaxConnections;
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0 &&
      files.rlim_cur / 2 < kMaxConnections) {
    limit = static_cast<long>(files.rlim_cur / 2);
  }
  return std::max(limit / static_cast<long>(kShards),
                  options.max_connections_per_host);
}

}  // namespace

std::string_view HttpResult::Header(std::string_view name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? std::string_view() : found->second;
}

bool HttpResult::Success() const {
  return this->status == CallStatus::kAnswered && this->code >= kFirstSuccess &&
         this->code <= kLastSuccess;
}

class HttpClient::Impl {
 public:
  Impl(const Options& options, int epoll, int wake_event)
      : options(options), epoll(epoll), wake_event(wake_event) {
    epoll_event wake{.events = EPOLLIN,
                     .data = {.u64 = EventData(kNoShard, wake_event)}};
    epoll_ctl(this->epoll, EPOLL_CTL_ADD, wake_event, &wake);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Impl() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
      this->Wake();
    }
    this->thread.join();
    for (const auto& shard : this->shards) {
      if (shard != nullptr) {
        curl_multi_cleanup(shard->multi);
      }
    }
    close(this->wake_event);
    close(this->epoll);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::uint64_t Send(HttpCall call, HttpDone done) {
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->done = std::move(done);
    std::uint64_t number = 0;
    {
      const std::lock_guard lock(this->mutex);
      number = ++this->last_number;
      transfer->number = number;
      this->added.push_back(std::move(transfer));
      this->Wake();
    }
    return number;
  }

  void Delay(int delay_ms, std::function<void()> action) {
    const std::lock_guard lock(this->mutex);
    this->timers.emplace(
        SteadyClock::now() + std::chrono::milliseconds(delay_ms),
        std::move(action));
    this->Wake();
  }

  ClientLoad TakeLoad() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(
        this->load, {.open = this->load.open, .unsent = this->load.unsent});
  }

  void Abort(std::uint64_t number) {
    const std::lock_guard lock(this->mutex);
    this->aborted.push_back(number);
    this->Wake();
  }

 private:
  // Registers a socket for the events that libcurl waits for.
  static int OnSocketWanted(CURL* /*easy*/,
                            curl_socket_t socket,
                            int what,
                            void* user,
                            void* known) {
    const Shard& shard = *static_cast<Shard*>(user);
    if (what == CURL_POLL_REMOVE) {
      epoll_ctl(shard.epoll, EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event wanted{.events = 0,
                       .data = {.u64 = EventData(shard.index, socket)}};
    if ((what & CURL_POLL_IN) != 0) {
      wanted.events |= EPOLLIN;
    }
    if ((what & CURL_POLL_OUT) != 0) {
      wanted.events |= EPOLLOUT;
    }
    epoll_ctl(shard.epoll, known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
              socket, &wanted);
    // Marks the socket as registered until libcurl removes it.
    curl_multi_assign(shard.multi, socket, user);
    return 0;
  }

  static int OnTimerWanted(CURLM* /*multi*/, long wait_ms, void* user) {
    auto& due = static_cast<Shard*>(user)->due;
    if (wait_ms < 0) {
      due.reset();
    } else {
      due = SteadyClock::now() + std::chrono::milliseconds(wait_ms);
    }
    return 0;
  }

  // Ends the wait of the client's thread. The caller holds the mutex.
  void Wake() {
    if (std::exchange(this->waiting, false)) {
      eventfd_write(this->wake_event, 1);
    }
  }

  void Run() {
    while (this->TakeOrders()) {
      const int wait_ms = this->RunTimers();
      this->NoteBusy();
      this->Wait(wait_ms);
      for (const auto& shard : this->shards) {
        if (shard == nullptr) {
          continue;
        }
        if (shard->due && *shard->due <= SteadyClock::now()) {
          shard->due.reset();
          Act(*shard, CURL_SOCKET_TIMEOUT, 0);
        }
        this->Collect(*shard);
      }
    }
    while (!this->active.empty()) {
      this->End(this->active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    }
  }

  // The thread is about to wait.
  void NoteBusy() {
    const auto busy = std::chrono::duration_cast<Duration>(SteadyClock::now() -
                                                           this->busy_since);
    const std::lock_guard lock(this->mutex);
    this->load.open = this->active.size();
    this->load.unsent = this->unsent;
    this->load.busy += busy;
    this->load.longest_busy = std::max(this->load.longest_busy, busy);
  }

  void NoteEnd(const Transfer& transfer) {
    const std::lock_guard lock(this->mutex);
    this->load.answered += transfer.result.status == CallStatus::kAnswered;
    this->load.not_sent += transfer.result.status == CallStatus::kNotSent;
    this->load.broken += transfer.result.status == CallStatus::kBroken;
    this->load.received_bytes += transfer.result.body.size();
    if (transfer.tries > 0) {
      this->load.sent_bytes += transfer.call.body.size();
    }
  }

  static void Act(Shard& shard, curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(shard.multi, socket, events, &running);
  }

  Shard& ShardOf(std::string_view url) {
    const std::size_t index =
        std::hash<std::string_view>()(AuthorityOf(url)) % kShards;
    std::unique_ptr<Shard>& shard = this->shards[index];
    if (shard == nullptr) {
      shard = std::make_unique<Shard>(
          Shard{.index = static_cast<std::uint32_t>(index),
                .epoll = this->epoll,
                .multi = curl_multi_init()});
      CURLM* multi = shard->multi;
      curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &OnSocketWanted);
      curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, shard.get());
      curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &OnTimerWanted);
      curl_multi_setopt(multi, CURLMOPT_TIMERDATA, shard.get());
      curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                        this->options.max_connections_per_host);
      curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                        ConnectionLimit(this->options));
    }
    return *shard;
  }

  // Waits for sockets that are ready, and serves them.
  void Wait(int wait_ms) {
    std::array<epoll_event, kMaxEvents> events{};
    const int count =
        epoll_wait(this->epoll, events.data(), kMaxEvents, wait_ms);
    this->busy_since = SteadyClock::now();
    {
      const std::lock_guard lock(this->mutex);
      this->waiting = false;
    }
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      const auto shard =
          static_cast<std::uint32_t>(event.data.u64 >> kShardShift);
      if (shard == kNoShard) {
        eventfd_t ignored = 0;
        eventfd_read(this->wake_event, &ignored);
        continue;
      }
      // libcurl looks at the socket itself if neither is set, as after an
      // error.
      int ready = 0;
      ready |= (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
      ready |= (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
      Act(*this->shards[shard], static_cast<std::int32_t>(event.data.u64),
          ready);
    }
  }

  // Runs the actions that are due and returns how long the thread may wait, in
  // ms.
  int RunTimers() {
    std::vector<std::function<void()>> due;
    const auto now = SteadyClock::now();
    auto until = now + std::chrono::milliseconds(kMaxWaitMs);
    for (const auto& shard : this->shards) {
      if (shard != nullptr && shard->due) {
        until = std::min(until, *shard->due);
      }
    }
    {
      const std::lock_guard lock(this->mutex);
      while (!this->timers.empty() && this->timers.begin()->first <= now) {
        due.push_back(std::move(this->timers.begin()->second));
        this->timers.erase(this->timers.begin());
      }
      if (!this->timers.empty()) {
        until = std::min(until, this->timers.begin()->first);
      }
      if (!due.empty() || !this->added.empty() || !this->aborted.empty() ||
          this->stopping) {
        until = now;
      }
      this->waiting = until > now;
    }
    for (const auto& action : due) {
      action();
    }
    return static_cast<int>(std::max<std::int64_t>(
        0, std::chrono::ceil<std::chrono::milliseconds>(until - now).count()));
  }

  // Returns false once the client is to stop.
  bool TakeOrders() {
    std::vector<std::unique_ptr<Transfer>> starts;
    std::vector<std::uint64_t> aborts;
    bool stop = false;
    {
      const std::lock_guard lock(this->mutex);
      starts.swap(this->added);
      aborts.swap(this->aborted);
      stop = this->stopping;
    }
    for (auto& transfer : starts) {
      this->Start(std::move(transfer));
    }
    for (const std::uint64_t number : aborts) {
      this->End(number, CURLE_ABORTED_BY_CALLBACK);
    }
    return !stop;
  }

  Easy TakeEasy() {
    if (this->idle.empty()) {
      return MakeEasy();
    }
    Easy result = std::move(this->idle.back());
    this->idle.pop_back();
    return result;
  }

  void Start(std::unique_ptr<Transfer> transfer) {
    if (Expired(transfer->call)) {
      transfer->result.error = kExpiredError;
      transfer->done(std::move(transfer->result));
      return;
    }
    transfer->easy = this->TakeEasy();
    Prepare(*transfer);
    transfer->started = SteadyClock::now();
    transfer->shard = &this->ShardOf(transfer->call.url);
    transfer->unsent = &this->unsent;
    ++this->unsent;
    curl_multi_add_handle(transfer->shard->multi, transfer->easy.get());
    const std::uint64_t number = transfer->number;
    if (transfer->HasDeadline()) {
      this->CheckDeadlineAt(transfer->Deadline(), number);
    }
    this->active.emplace(number, std::move(transfer));
  }

  void CheckDeadlineAt(SteadyClock::time_point when, std::uint64_t number) {
    const std::lock_guard lock(this->mutex);
    this->timers.emplace(
        when, [this, when, number] { this->CheckDeadline(when, number); });
  }

  void CheckDeadline(SteadyClock::time_point due, std::uint64_t number) {
    const auto found = this->active.find(number);
    if (found == this->active.end()) {
      return;
    }
    Transfer& transfer = *found->second;
    const auto now = SteadyClock::now();
    if (now < transfer.Deadline()) {
      transfer.looked_again = false;
      this->CheckDeadlineAt(transfer.Deadline(), number);
    } else if (now - due > kHeldUp &&
               !std::exchange(transfer.looked_again, true)) {
      this->CheckDeadlineAt(now + kHeldUp, number);
    } else {
      this->End(number, CURLE_OPERATION_TIMEDOUT);
    }
  }

  void Collect(const Shard& shard) {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(shard.multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      this->End(transfer->number, message->data.result);
    }
  }

  void End(std::uint64_t number, CURLcode code) {
    const auto found = this->active.find(number);
    if (found == this->active.end()) {
      return;
    }
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    this->active.erase(found);
    Finish(*transfer, code);
    this->NoteEnd(*transfer);
    curl_multi_remove_handle(transfer->shard->multi, transfer->easy.get());
    if (transfer->tries == 0) {
      --this->unsent;
    }
    if (this->idle.size() < kMaxIdleHandles) {
      this->idle.push_back(std::move(transfer->easy));
    }
    transfer->done(std::move(transfer->result));
  }

  const Options options;
  const int epoll;
  const int wake_event;
  SteadyClock::time_point busy_since = SteadyClock::now();
  std::array<std::unique_ptr<Shard>, kShards> shards;  // created when needed
  std::uint64_t unsent = 0;  // active calls that were not tried
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> active;
  std::vector<Easy> idle;

  std::mutex mutex;  // guards the members below
  bool stopping = false;
  bool waiting = false;
  std::uint64_t last_number = 0;
  ClientLoad load;
  std::vector<std::unique_ptr<Transfer>> added;
  std::vector<std::uint64_t> aborted;
  std::multimap<SteadyClock::time_point, std::function<void()>> timers;

  std::thread thread;  // the last member, since it uses the others
};

Result<std::unique_ptr<HttpClient>> HttpClient::Create(const Options& options) {
  static const CURLcode global = curl_global_init(CURL_GLOBAL_ALL);
  if (global != CURLE_OK) {
    return Fail(
        ErrorKind::kUnavailable,
        std::string("libcurl did not start: ") + curl_easy_strerror(global),
        "check the installed libcurl");
  }
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  const int wake_event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (epoll < 0 || wake_event < 0) {
    close(epoll);
    close(wake_event);
    return Fail(ErrorKind::kUnavailable,
                "the HTTP client got no file descriptors",
                "raise the limit of open files");
  }
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_unique<Impl>(options, epoll, wake_event)));
}

HttpClient::HttpClient(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::Send(HttpCall call, HttpDone done) {
  return this->impl->Send(std::move(call), std::move(done));
}

void HttpClient::Delay(int delay_ms, std::function<void()> action) {
  this->impl->Delay(delay_ms, std::move(action));
}

ClientLoad HttpClient::TakeLoad() {
  return this->impl->TakeLoad();
}

void HttpClient::Abort(std::uint64_t call) {
  this->impl->Abort(call);
}

HttpResult HttpClient::SendAndWait(HttpCall call) {
  std::promise<HttpResult> promise;
  auto future = promise.get_future();
  this->Send(std::move(call), [&promise](HttpResult result) {
    promise.set_value(std::move(result));
  });
  return future.get();
}

}  // namespace kch::net

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>
#include <thread>

#include "platform/platform.h"
#include "test/slow_server.h"

// The clients against a server of this process that answers as the platform's
// pages say.

namespace kch::platform {
namespace {

struct Stand {
  std::mutex mutex;
  std::vector<net::HttpRequest> requests;
  std::map<std::string, net::HttpResponse> answers;  // by path
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<net::HttpClient> client;

  Stand() {
    this->server =
        net::HttpServer::Create({}, [this](const net::HttpRequest& request,
                                           const auto& reply) {
          const std::lock_guard lock(this->mutex);
          this->requests.push_back(request);
          const auto found = this->answers.find(request.path);
          reply(found == this->answers.end() ? net::HttpResponse{.status = 404}
                                             : found->second);
        }).value();
    this->client = net::HttpClient::Create({}).value();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->port());
  }
  void Answer(const std::string& call, int status, const std::string& body) {
    const std::lock_guard lock(this->mutex);
    this->answers["/kingcuphaven/" + call] = {.status = status, .body = body};
  }
  std::size_t Count() {
    const std::lock_guard lock(this->mutex);
    return this->requests.size();
  }
  net::HttpRequest Last() {
    const std::lock_guard lock(this->mutex);
    return this->requests.back();
  }
};

// Waits for a callback's argument.
template <typename T>
struct Waiter {
  std::shared_ptr<std::promise<T>> promise =
      std::make_shared<std::promise<T>>();

  std::function<void(T)> Callback() {
    return [promise = this->promise](T value) {
      promise->set_value(std::move(value));
    };
  }
  T Wait() { return this->promise->get_future().get(); }
};

jobs::StartRun StartOrder(const std::string& address) {
  return {.to = {VmId("i-1"), address},
          .task = {jobs::JobId("0a"), 0, 1, 2},
          .run = 3,
          .payload = "spec",
          .lease_until_ms = 5000,
          .checkpoint = "c"};
}

StartReply Start(Stand& stand) {
  VmClient vms(*stand.client);
  Waiter<StartReply> reply;
  vms.Start(StartOrder(stand.Address()), 9, reply.Callback());
  return reply.Wait();
}

std::string ConfigItem(int revision) {
  return R"({"Key": "op/config", "Value": "bm9kZS0x", "Revision": )" +
         std::to_string(revision) + "}";
}

// A store that answers lists with one item and does not answer its first two
// watches; later ones tell three versions of the item.
struct SilentStore {
  // Connections that are open when the store falls silent.
  static constexpr std::size_t kPooled = 2;

  struct Read {
    bool list = false;
    std::string wait;  // of a watch
    std::size_t connection = 0;
  };

  std::mutex mutex;
  std::vector<Read> reads;
  std::vector<std::uint64_t> revisions;  // that the view told
  int watches = 0;
  std::promise<void> newest;
  net::Metrics metrics;
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create({}).value();
  SlowServer server{[this](const std::string& head, std::size_t connection) {
    return this->Answer(head, connection);
  }};
  Store store{*this->client, this->server.address(), this->metrics};

  SlowServer::Answer Answer(const std::string& head, std::size_t connection) {
    constexpr int silent_watches = 2;
    const bool list = head.find("kv-range") != std::string::npos;
    const std::size_t wait = head.find("WaitMs=");
    const std::lock_guard lock(this->mutex);
    this->reads.push_back(
        {list,
         list ? std::string() : head.substr(wait, head.find(' ', wait) - wait),
         connection});
    if (list) {
      const int revision = this->watches == 0 ? 5 : 9;
      return {.body = R"({"items": [)" + ConfigItem(revision) +
                      R"(], "StoreRevision": )" + std::to_string(revision) +
                      "}",
              // Calls that are sent together use two connections.
              .parts = 2,
              .pause = std::chrono::milliseconds(150)};
    }
    if (++this->watches <= silent_watches ||
        head.find("After=9") != std::string::npos) {
      return {.silent = true};
    }
    return {.body = R"({"events": [)" + ConfigItem(7) + "," + ConfigItem(8) +
                    "," + ConfigItem(9) + R"(], "StoreRevision": 9})"};
  }

  void OpenConnections() {
    std::vector<Waiter<ListReply>> waiters(kPooled);
    for (Waiter<ListReply>& waiter : waiters) {
      this->store.List("op/", "", waiter.Callback());
    }
    for (Waiter<ListReply>& waiter : waiters) {
      waiter.Wait();
    }
    const std::lock_guard lock(this->mutex);
    this->reads.clear();
  }

  // Follows the item until its newest version is told.
  void Follow(PrefixView::Pace pace) {
    this->OpenConnections();
    const auto view = PrefixView::Create(
        *this->client, this->store, "op/", pace,
        {.on_put =
             [this](const Item& item) {
               const std::lock_guard lock(this->mutex);
               this->revisions.push_back(item.revision);
               if (item.revision == 9) {
                 this->newest.set_value();
               }
             },
         .on_removed = [](const std::string&, std::uint64_t) {},
         .on_listed = [](std::uint64_t) {},
         .on_reachable = [](bool) {}});
    this->newest.get_future().wait();
    view->Stop();
    this->client.reset();
  }
};

// A store with one change after its list, in the answers to the watches that
// ask for it; the test gives these by their number.
struct BurstStore {
  inline static const std::string kBurst =
      R"({"events": [)" + ConfigItem(7) + R"(], "StoreRevision": 7})";

  explicit BurstStore(std::function<SlowServer::Answer(int watch)> answer)
      : answer(std::move(answer)) {}
  ~BurstStore() {
    this->view->Stop();
    this->client.reset();
  }
  BurstStore(const BurstStore&) = delete;
  BurstStore& operator=(const BurstStore&) = delete;

  // `told` gets the number of watches when the change is told.
  void Follow(int overlap_ms) {
    this->view = PrefixView::Create(
        *this->client, this->store, "op/",
        {.wait_ms = 3000, .overlap_ms = overlap_ms},
        {.on_put = [this](const Item&) { this->told.set_value(this->watches); },
         .on_removed = [](const std::string&, std::uint64_t) {},
         .on_listed = [](std::uint64_t) {},
         .on_reachable = [](bool) {}});
  }

  std::function<SlowServer::Answer(int watch)> answer;
  std::atomic<int> watches = 0;
  std::promise<int> told;
  SlowServer server{[this](const std::string& head, std::size_t) {
    if (head.find("kv-range") != std::string::npos) {
      return SlowServer::Answer{.body = R"({"items": [], "StoreRevision": 5})"};
    }
    return head.find("After=5") == std::string::npos
               ? SlowServer::Answer{.silent = true}
               : this->answer(++this->watches);
  }};
  net::Metrics metrics;
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create({}).value();
  Store store{*this->client, this->server.address(), this->metrics};
  std::shared_ptr<PrefixView> view;
};

// The list of machines that a client reads if each page is this one.
std::optional<std::vector<upkeep::Machine>> ListOf(const std::string& page) {
  Stand stand;
  stand.Answer("machines", 200, page);
  MachineClient machines(*stand.client, stand.Address(), "edge-1");
  Waiter<std::optional<std::vector<upkeep::Machine>>> waiter;
  machines.List(waiter.Callback());
  return waiter.Wait();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ClientsTest)

BOOST_AUTO_TEST_CASE(StartsCarryFenceLeaseAndInstance) {
  Stand stand;
  stand.Answer("run-start", 200, R"({"ClockMs": 77})");
  const StartReply reply = Start(stand);
  BOOST_TEST((reply.answer == jobs::StartAnswer::kAccepted));
  BOOST_TEST(reply.clock_ms == 77);
  const net::HttpRequest request = stand.Last();
  BOOST_TEST(request.Header("expect-instance") == "i-1");
  BOOST_TEST(request.body ==
             R"({"Checkpoint":"c","FencingToken":9,"Run":3,"Spec":"spec",)"
             R"("Task":"0a.0.1.2","UntilMs":5000})");
}

// Guards against an answer that ends the process that reads it.
BOOST_AUTO_TEST_CASE(AnswersOfOtherTypesAreRead) {
  Stand stand;
  for (const std::string clock : {"\"soon\"", "[]", "1e300", "null"}) {
    stand.Answer("run-start", 200, R"({"ClockMs": )" + clock + "}");
    const StartReply reply = Start(stand);
    BOOST_TEST((reply.answer == jobs::StartAnswer::kAccepted));
    BOOST_TEST(reply.clock_ms == 0);
  }
}

BOOST_AUTO_TEST_CASE(RefusedStartsAreToldApart) {
  Stand stand;
  const std::vector<std::tuple<int, std::string, jobs::StartAnswer>> cases{
      {409, R"({"ClockMs": 1, "Reason": "fence"})", jobs::StartAnswer::kFenced},
      {409, R"({"ClockMs": 1, "Reason": "old"})", jobs::StartAnswer::kOldRun},
      {409, R"({"ClockMs": 1, "Reason": "late"})", jobs::StartAnswer::kExpired},
      {409, R"({"ClockMs": 1, "Reason": "room"})", jobs::StartAnswer::kNoRoom},
      {409, R"({"ClockMs": 1, "Reason": "ticket"})",
       jobs::StartAnswer::kNoPermit},
      {400, "", jobs::StartAnswer::kInvalid},
      {421, "", jobs::StartAnswer::kOtherVm},
      {503, "", jobs::StartAnswer::kUnhealthy}};
  for (const auto& [status, body, answer] : cases) {
    stand.Answer("run-start", status, body);
    BOOST_TEST((Start(stand).answer == answer), status << " " << body);
  }
}

// libcurl sends a request again if its connection is closed before the answer.
// Guards against taking the refusal of the second sending for that of the
// first, which may have been carried out: a job whose submitter was told that
// it does not run ran, and a task was started twice.
BOOST_AUTO_TEST_CASE(RefusalOfARepeatedRequestLeavesItsOutcomeUnknown) {
  int refusal = 503;
  std::string body;
  bool closes = false;
  SlowServer server([&](const std::string&, std::size_t) {
    return std::exchange(closes, false)
               ? SlowServer::Answer{.closes = true}
               : SlowServer::Answer{.body = body, .status = refusal};
  });
  const auto client = net::HttpClient::Create({}).value();
  net::Metrics metrics;
  Store store(*client, server.address(), metrics);
  const auto write = [&] {
    Waiter<WriteReply> waiter;
    store.Write({.conditions = {{"k", 0}}}, 1000, waiter.Callback());
    return waiter.Wait().outcome;
  };
  VmClient vms(*client);
  const auto start = [&] {
    Waiter<StartReply> waiter;
    vms.Start(StartOrder(server.address()), 9, waiter.Callback());
    return waiter.Wait().answer;
  };
  MachineClient machines(*client, server.address(), "edge-1");
  const auto upkeep = [&] {
    Waiter<upkeep::OrderAnswer> waiter;
    machines.Upkeep({jobs::MachineId("m-1"), jobs::WaveId("7")}, 9,
                    net::Now() + std::chrono::seconds(5), waiter.Callback());
    return waiter.Wait();
  };
  BOOST_TEST((write() == Outcome::kRefused));
  closes = true;
  BOOST_TEST((write() == Outcome::kUnknown));

  BOOST_TEST((start() == jobs::StartAnswer::kUnhealthy));
  closes = true;
  BOOST_TEST((start() == jobs::StartAnswer::kNoAnswer));

  refusal = 409;
  body = R"({"Reason": "busy"})";
  BOOST_TEST((upkeep() == upkeep::OrderAnswer::kBusy));
  closes = true;
  BOOST_TEST((upkeep() == upkeep::OrderAnswer::kUnknown));

  // A fence that has passed the order's is no less so for the first sending.
  body = R"({"Reason": "fence"})";
  closes = true;
  BOOST_TEST((start() == jobs::StartAnswer::kFenced));
}

BOOST_AUTO_TEST_CASE(LooksReturnTheVmsLists) {
  Stand stand;
  stand.Answer("hold", 200,
               R"({"ClockMs": 5, "born": 6,
                   "Running": [["0a.0.0.1", 2, "ck", 41, 17.5]],
                   "Ended": [[58, "0a.0.0.9", 1, "lapsed", ""]]})");
  VmClient vms(*stand.client);
  Waiter<PollReply> waiter;
  vms.Look({.to = {VmId("i-1"), stand.Address()},
            .lease_until_ms = 900,
            .recorded_end = 57,
            .wait_ms = 10},
           9, waiter.Callback());
  const PollReply reply = waiter.Wait();
  BOOST_REQUIRE((reply.outcome == PollOutcome::kReport));
  BOOST_TEST(reply.report.boot_ms == 6);
  BOOST_TEST(reply.report.running[0].percent == 41);
  BOOST_TEST(reply.report.running[0].gauge == 17);
  BOOST_TEST((reply.report.ended[0].how == jobs::RunEnd::kExpired));
  BOOST_TEST(stand.Last().body ==
             R"({"FencingToken":9,"LastSeen":57,"UntilMs":900,"WaitMs":10})");
}

// Guards against a list of 500 ends that is taken for all of them.
BOOST_AUTO_TEST_CASE(FullListsOfEndsMayLeaveSomeOut) {
  constexpr int full = 500;
  for (const int ends : {full - 1, full}) {
    Stand stand;
    std::string rows;
    for (int i = 1; i <= ends; ++i) {
      rows += (i > 1 ? ",[" : "[") + std::to_string(i) + R"(,"0a.0.0.)" +
              std::to_string(i) + R"(",1,"done",""])";
    }
    stand.Answer("hold", 200,
                 R"({"ClockMs": 5, "Running": [], "Ended": [)" + rows + "]}");
    VmClient vms(*stand.client);
    Waiter<PollReply> waiter;
    vms.Look({.to = {VmId("i-1"), stand.Address()}}, 9, waiter.Callback());
    const PollReply reply = waiter.Wait();
    BOOST_TEST(reply.report.ended.size() == static_cast<std::size_t>(ends));
    BOOST_TEST(reply.report.more_ends == (ends == full));
  }
}

BOOST_AUTO_TEST_CASE(AdviceNamesTheVmsThatMayRunAStep) {
  Stand stand;
  const jobs::RequestAdvice question{
      jobs::JobId("0a"), 2, 1, {VmId("i-1"), VmId("i-2")}};
  const auto ask = [&](const std::string& address) {
    AdviceClient advice(*stand.client, address);
    Waiter<std::optional<AdviceReply>> waiter;
    advice.Ask(question, waiter.Callback());
    return waiter.Wait();
  };
  stand.Answer("advise", 200, R"({"Allowed": [["i-2", "t"]], "ValidMs": 900})");
  const auto reply = ask(stand.Address());
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply->permits.size() == 1U);
  BOOST_TEST(reply->permits.at(VmId("i-2")) == "t");
  BOOST_TEST(ToMs(reply->valid_for) == 900);
  BOOST_TEST(stand.Last().body ==
             R"({"Step":"0a.2.1","Workers":["i-1","i-2"]})");
  stand.Answer("advise", 429, "");
  BOOST_TEST(!ask(stand.Address()).has_value());
  stand.Answer("advise", 200, R"({"Allowed": 3})");
  BOOST_TEST(!ask(stand.Address()).has_value());
  // A deployment without the service.
  BOOST_TEST(!ask("").has_value());
}

BOOST_AUTO_TEST_CASE(TransactionsReportConflicts) {
  Stand stand;
  net::Metrics metrics;
  Store store(*stand.client, stand.Address(), metrics);
  Transaction transaction;
  transaction.conditions.push_back({"k", 4});
  transaction.puts.push_back({"k", "node-1", 7});
  const auto write = [&] {
    Waiter<WriteReply> waiter;
    store.Write(transaction, 1000, waiter.Callback());
    return waiter.Wait();
  };
  stand.Answer("kv-txn", 200, R"({"Revision": 412})");
  WriteReply reply = write();
  BOOST_TEST((reply.outcome == Outcome::kOk));
  BOOST_TEST(reply.revision == 412);
  BOOST_TEST(stand.Last().body ==
             R"({"Deletes":[],"ExpectedRev":[{"Key":"k","Revision":4}],)"
             R"("Puts":[{"Key":"k","Lease":7,"Value":"bm9kZS0x"}]})");
  stand.Answer("kv-txn", 412,
               R"({"items": [{"Key": "k", "Value": "bm9kZS0x",
                              "Revision": 5, "Created": 1}]})");
  reply = write();
  BOOST_TEST((reply.outcome == Outcome::kConflict));
  BOOST_TEST(reply.items[0].revision == 5);
  BOOST_TEST(reply.items[0].value == "node-1");
  stand.Answer("kv-txn", 503, "");
  BOOST_TEST((write().outcome == Outcome::kRefused));
  stand.Answer("kv-txn", 200, "no json");
  BOOST_TEST((write().outcome == Outcome::kUnknown));
  const std::string text = metrics.Text();
  BOOST_TEST(text.find("kch_store_calls_total{kind=\"write\",outcome="
                       "\"conflict\"} 1") != std::string::npos,
             text);
}

// Guards against breaking off an answer that arrives over a slow link, and
// beginning it anew without end.
BOOST_AUTO_TEST_CASE(SlowAnswersOfTheStoreAreAwaited) {
  using namespace std::chrono_literals;
  SlowServer server([](const std::string& head, std::size_t) {
    const bool list = head.find("kv-range") != std::string::npos;
    return SlowServer::Answer{
        .body = std::string(list ? R"({"items": [)" : R"({"events": [)") +
                R"({"Key": "op/config", "Value": "bm9kZS0x",)"
                R"( "Revision": 5}], "StoreRevision": 6})",
        .parts = 10,
        .pause = 250ms};
  });
  const auto client = net::HttpClient::Create({}).value();
  net::Metrics metrics;
  Store store(*client, server.address(), metrics);
  Waiter<ListReply> listed;
  store.List("op/", "", listed.Callback());
  const ListReply list = listed.Wait();
  BOOST_TEST((list.outcome == Outcome::kOk));
  BOOST_TEST(list.items.size() == 1U);
  Waiter<WatchReply> watched;
  store.Watch("op/", 4, 1000, watched.Callback());
  const WatchReply watch = watched.Wait();
  BOOST_TEST((watch.outcome == Outcome::kOk));
  BOOST_TEST(watch.changes.size() == 1U);
}

// Guards against learning late that the store answers again, for the wait of a
// watch or for a connection that stays silent.
BOOST_AUTO_TEST_CASE(LostWatchIsRepeatedShortlyOnANewConnection) {
  SilentStore store;
  store.Follow({.wait_ms = 300});
  BOOST_REQUIRE(store.reads.size() >= 4U);
  BOOST_TEST(store.reads[0].list);
  BOOST_TEST(store.reads[1].wait == "WaitMs=300");
  BOOST_TEST(store.reads[2].wait == "WaitMs=100");
  BOOST_TEST(store.reads[3].wait == "WaitMs=100");
  BOOST_TEST(store.reads[1].connection < SilentStore::kPooled);
  BOOST_TEST(store.reads[2].connection == SilentStore::kPooled);
  BOOST_TEST(store.reads[3].connection == SilentStore::kPooled + 1);
  BOOST_TEST((store.revisions == std::vector<std::uint64_t>{5, 7, 8, 9}));
}

// Guards against learning of frequent changes only at the end of the wait of a
// watch whose answer was lost.
BOOST_AUTO_TEST_CASE(OverlappingWatchReplacesALostOne) {
  SilentStore store;
  const Time begun = net::Now();
  store.Follow({.wait_ms = 5000, .overlap_ms = 100});
  BOOST_TEST(ToMs(net::Now() - begun) < 4000);
  BOOST_REQUIRE(store.reads.size() >= 4U);
  BOOST_TEST(store.reads[3].wait == "WaitMs=5000");
  BOOST_TEST((store.revisions == std::vector<std::uint64_t>{5, 7, 8, 9}));
}

// Guards against a removed record, such as that of a VM that has left, which
// the late answer of an earlier watch brings back.
BOOST_AUTO_TEST_CASE(LateAnswerOfAnEarlierWatchBringsNothingBack) {
  using namespace std::chrono_literals;
  std::atomic<int> watches = 0;
  const std::string put = R"({"Key": "servers/a", "Value": "", "Revision": 7})";
  SlowServer server([&](const std::string& head, std::size_t) {
    if (head.find("kv-range") != std::string::npos) {
      return SlowServer::Answer{.body = R"({"items": [], "StoreRevision": 5})"};
    }
    switch (++watches) {
      case 1:  // arrives after the answer to the second watch
        return SlowServer::Answer{
            .body = R"({"events": [)" + put + R"(], "StoreRevision": 7})",
            .delay = 600ms};
      case 2:
        return SlowServer::Answer{
            .body = R"({"events": [)" + put +
                    R"(, {"Key": "servers/a", "Revision": 8, "Removed": true}])"
                    R"(, "StoreRevision": 8})"};
      default:
        return SlowServer::Answer{.silent = true};
    }
  });
  auto client = net::HttpClient::Create({}).value();
  net::Metrics metrics;
  Store store(*client, server.address(), metrics);
  std::mutex mutex;
  std::vector<std::string> seen;
  const auto note = [&](const std::string& what) {
    const std::lock_guard lock(mutex);
    seen.push_back(what);
  };
  const auto view = PrefixView::Create(
      *client, store, "servers/", {.wait_ms = 3000, .overlap_ms = 100},
      {.on_put = [&](const Item& item) { note("put " + item.key); },
       .on_removed = [&](const std::string& key,
                         std::uint64_t) { note("removed " + key); },
       .on_listed = [](std::uint64_t) {},
       .on_reachable = [](bool) {}});
  std::this_thread::sleep_for(1500ms);
  view->Stop();
  client.reset();
  BOOST_TEST(
      (seen == std::vector<std::string>{"put servers/a", "removed servers/a"}));
}

// Guards against a full link that carries the same changes again and again: an
// answer that takes long to arrive is asked for once more beside it.
BOOST_AUTO_TEST_CASE(WatchWhoseAnswerArrivesIsNotRepeated) {
  using namespace std::chrono_literals;
  BurstStore store([](int) {
    return SlowServer::Answer{
        .body = BurstStore::kBurst, .parts = 4, .pause = 200ms};
  });
  store.Follow(100);
  BOOST_TEST(store.told.get_future().get() == 1);
}

// Guards against the same changes being asked for a third time, while the late
// answer of an earlier watch brings them.
BOOST_AUTO_TEST_CASE(LateAnswerThatArrivesHoldsFurtherWatchesBack) {
  using namespace std::chrono_literals;
  BurstStore store([](int watch) {
    return watch > 1 ? SlowServer::Answer{.silent = true}
                     : SlowServer::Answer{.body = BurstStore::kBurst,
                                          .parts = 4,
                                          .pause = 300ms,
                                          .delay = 150ms};
  });
  store.Follow(100);
  BOOST_TEST(store.told.get_future().get() == 2);
}

// Guards against further watches of a process that takes its own slowness for
// a lost answer.
BOOST_AUTO_TEST_CASE(WatchIsNotRepeatedForAnAnswerThatWasNotRead) {
  using namespace std::chrono_literals;
  SlowServer other(
      [](const std::string&, std::size_t) { return SlowServer::Answer{}; });
  std::promise<void> asked;
  BurstStore store([&asked](int watch) {
    if (watch == 1) {
      asked.set_value();
    }
    return SlowServer::Answer{.body = BurstStore::kBurst, .delay = 50ms};
  });
  store.Follow(200);
  asked.get_future().wait();
  // Keeps the client's thread busy, in the end of a call.
  store.client->Send(
      {.url = "http://" + other.address() + "/"},
      [](const net::HttpResult&) { std::this_thread::sleep_for(400ms); });
  store.told.get_future().wait();
  std::this_thread::sleep_for(200ms);
  BOOST_TEST(store.watches == 1);
}

// Guards against waiting for a lost answer as long as for one over a slow link.
BOOST_AUTO_TEST_CASE(UnansweredWriteEndsSoonerOnceTheStoreIsKnown) {
  std::atomic<bool> silent = false;
  SlowServer server([&](const std::string&, std::size_t) {
    return SlowServer::Answer{.body = R"({"Revision": 9})", .silent = silent};
  });
  const auto client = net::HttpClient::Create({}).value();
  net::Metrics metrics;
  Store store(*client, server.address(), metrics);
  const auto write = [&] {
    Waiter<WriteReply> waiter;
    store.Write({}, 5000, waiter.Callback());
    return waiter.Wait().outcome;
  };
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST((write() == Outcome::kOk));
  }
  silent = true;
  const Time begun = net::Now();
  BOOST_TEST((write() == Outcome::kUnknown));
  BOOST_TEST(ToMs(net::Now() - begun) < 900);
}

// Guards against reading every version of a large record that was written
// during an outage, where the newest is enough.
BOOST_AUTO_TEST_CASE(OnlyTheNewestVersionIsReadAfterAnOutage) {
  SilentStore store;
  store.Follow({.wait_ms = 300, .list_after_outage = true});
  BOOST_REQUIRE(store.reads.size() >= 4U);
  BOOST_TEST(!store.reads[2].list);  // one lost answer is no outage
  BOOST_TEST(store.reads[3].list);
  BOOST_TEST(store.reads[3].connection == SilentStore::kPooled + 1);
  BOOST_TEST((store.revisions == std::vector<std::uint64_t>{5, 9}));
}

BOOST_AUTO_TEST_CASE(OrdersToMachinesNameTheirHolder) {
  Stand stand;
  MachineClient machines(*stand.client, stand.Address(), "edge-1");
  const auto order = [&](Duration valid = std::chrono::seconds(10)) {
    Waiter<upkeep::OrderAnswer> waiter;
    machines.Upkeep({jobs::MachineId("m-1"), jobs::WaveId("2")}, 12,
                    net::Now() + valid, waiter.Callback());
    return waiter.Wait();
  };
  stand.Answer("machine-upkeep", 200, "");
  BOOST_TEST((order() == upkeep::OrderAnswer::kDone));
  BOOST_TEST(stand.Last().Header("duty-holder") == "edge-1");
  BOOST_TEST(stand.Last().Header("fence-token") == "12");
  BOOST_TEST(stand.Last().body == R"({"Machine":"m-1","Wave":2})");
  stand.Answer("machine-upkeep", 409, R"({"Reason": "fence"})");
  BOOST_TEST((order() == upkeep::OrderAnswer::kFenced));
  stand.Answer("machine-upkeep", 409, R"({"Reason": "wave"})");
  BOOST_TEST((order() == upkeep::OrderAnswer::kNotInWave));
  stand.Answer("machine-upkeep", 429, "");
  BOOST_TEST((order() == upkeep::OrderAnswer::kRateLimited));
}

// Guards against a list whose labels are not read, so that no machine is found
// for a step that needs one, and against a row that ends the process.
BOOST_AUTO_TEST_CASE(ListOfMachinesTellsTheirLabels) {
  const auto list = ListOf(R"({"Machines": [
      {"Machine": "m-1", "Pool": "p", "State": "up", "Id": "i-1",
       "Labels": ["big", 3, null, "r1"], "Capacity": {"Cpu": 8000}},
      {"Machine": "m-2", "Labels": "big"}, {"Machine": "m-3"}]})");
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->at(0).labels == (std::set<std::string>{"big", "r1"}));
  BOOST_TEST(list->at(1).labels.empty());
  BOOST_TEST(list->at(2).labels.empty());
}

// Guards against a process that ends for a malformed row. The list fails as a
// whole, since a machine that it leaves out would count as gone.
BOOST_AUTO_TEST_CASE(OddRowFailsTheListOfMachines) {
  for (const std::string row :
       {R"({"Machine": "m-2", "Capacity": "big"})",
        R"({"Machine": "m-2", "Capacity": {"Cpu": "many"}})", R"("m-2")"}) {
    BOOST_TEST(!ListOf(R"({"Machines": [{"Machine": "m-1"}, )" + row + "]}")
                    .has_value());
  }
}

// Guards against machines that count as gone because the rows of a page, or
// what leads to the next one, cannot be read.
BOOST_AUTO_TEST_CASE(OddPageFailsTheListOfMachines) {
  for (const std::string page :
       {R"({"Machines": null})", R"({"Machines": {}})", R"({"Machines": ""})",
        R"({"Machines": [{"Machine": "m-1"}], "NextToken": 2})",
        R"({"Machines": [{"Machine": "m-1"}], "NextToken": "same"})"}) {
    BOOST_TEST(!ListOf(page).has_value());
  }
}

// Guards against an order to a machine that is sent after its sender's lease
// has expired, as when the process was paused in between.
BOOST_AUTO_TEST_CASE(OrdersToMachinesAreNotSentAfterTheLease) {
  Stand stand;
  MachineClient machines(*stand.client, stand.Address(), "edge-1");
  stand.Answer("machine-move", 200, "");
  Waiter<upkeep::OrderAnswer> waiter;
  machines.Move({jobs::MachineId("m-1"), PoolId("p")}, 12,
                net::Now() - std::chrono::milliseconds(1), waiter.Callback());
  BOOST_TEST((waiter.Wait() == upkeep::OrderAnswer::kRateLimited));
  BOOST_TEST(stand.Count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::platform

#include "app/kchctl/runner.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <variant>

namespace kch::app {
namespace {

using ctl::Answer;
using ctl::CallKind;
using ctl::Ending;
using ctl::ExitCode;
using ctl::Reach;
using ctl::Verdict;
using net::Now;
using nlohmann::json;

// A read is answered from memory at once, so a longer silence means that
// another entry should be asked.
constexpr int kReadMs = 3'000;
// Time for entries to show that they run, before a call that may wait long.
constexpr int kHealthMs = 1'000;
// An entry answers a change within 5 s, and 2 s more for its peers' reports.
constexpr int kChangeMs = 8'000;
constexpr int kConnectMs = 1'000;
constexpr std::size_t kIdBytes = 12;
constexpr auto kRoundPause = std::chrono::milliseconds(300);
constexpr auto kPollPause = std::chrono::milliseconds(200);

std::string RandomBytes(std::size_t size) {
  std::string bytes(size, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(size)) != 1) {
    std::fputs("kchctl: OpenSSL has no random bytes; check the system\n",
               stderr);
    std::exit(static_cast<int>(ExitCode::kRefused));
  }
  return bytes;
}

Answer AnswerOf(net::HttpResult result) {
  Answer answer{.code = result.code,
                .body = std::move(result.body),
                .error = std::move(result.error)};
  switch (result.status) {
    case net::CallStatus::kAnswered:
      answer.reach = Reach::kAnswered;
      break;
    case net::CallStatus::kNotSent:
      answer.reach = Reach::kNotSent;
      break;
    case net::CallStatus::kBroken:
      answer.reach = Reach::kBroken;
      break;
  }
  return answer;
}

std::string NewId() {
  return "ctl-" + ctl::Hex(RandomBytes(kIdBytes));
}

}  // namespace

Runner::Runner(net::HttpClient& client, CtlSettings settings)
    : client(client),
      settings(std::move(settings)),
      deadline(Now() + std::chrono::milliseconds(this->settings.timeout_ms)) {
  if (this->settings.change_id.empty()) {
    this->settings.change_id = NewId();
  }
}

ExitCode Runner::Run(const ctl::Command& command) {
  this->PutLiveEntriesFirst();
  return std::visit([this](const auto& inner) { return this->Do(inner); },
                    command);
}

int Runner::LeftMs() const {
  return static_cast<int>(
      std::max<std::int64_t>(ToMs(this->deadline - Now()), 0));
}

void Runner::Print(const std::string& text) const {
  std::fputs(text.c_str(), stdout);
  if (!text.empty() && text.back() != '\n') {
    std::fputc('\n', stdout);
  }
}

ExitCode Runner::Refuse(const Error& error) {
  std::fprintf(stderr, "kchctl: %s\n", error.Text().c_str());
  return ExitCode::kRefused;
}

net::HttpCall Runner::MakeCall(const std::string& server,
                               const std::string& path,
                               const std::string* body,
                               int limit_ms) const {
  net::HttpCall call{
      .method = body == nullptr ? "GET" : "POST",
      .url = "http://" + server + path,
      .headers = {{"Authorization", "Bearer " + this->settings.operator_key}},
      .body = body == nullptr ? "" : *body,
      .connect_timeout_ms = kConnectMs,
      .timeout_ms = std::max(std::min(limit_ms, this->LeftMs()), 1),
      .new_connection = body != nullptr};
  if (body != nullptr) {
    call.headers.emplace_back("Content-Type", "application/json");
  }
  return call;
}

std::vector<Answer> Runner::CallEach(const Servers& servers,
                                     const std::string& path,
                                     int limit_ms) {
  // All at once, so that silent entries cost one time limit and not one each.
  std::vector<std::future<Answer>> pending;
  pending.reserve(servers.size());
  for (const std::string& server : servers) {
    // Shared, since set_value may still run when the answer has been taken.
    const auto promise = std::make_shared<std::promise<Answer>>();
    pending.push_back(promise->get_future());
    this->client.Send(this->MakeCall(server, path, nullptr, limit_ms),
                      [promise](net::HttpResult result) {
                        promise->set_value(AnswerOf(std::move(result)));
                      });
  }
  std::vector<Answer> answers;
  answers.reserve(pending.size());
  for (std::future<Answer>& answer : pending) {
    answers.push_back(answer.get());
  }
  return answers;
}

void Runner::PutLiveEntriesFirst() {
  Servers& entries = this->settings.entries;
  if (entries.size() < 2) {
    return;
  }
  // After the loss of a zone a third of the entries may be silent, and a change
  // sent to each in turn would come too late.
  const std::vector<Answer> answers =
      this->CallEach(entries, "/health", kHealthMs);
  Servers sorted;
  for (const bool live : {true, false}) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if ((answers[i].reach == Reach::kAnswered) == live) {
        sorted.push_back(entries[i]);
      }
    }
  }
  entries = std::move(sorted);
}

Ending Runner::Call(const Servers& servers,
                    const std::string& path,
                    CallKind kind,
                    const std::string* body) {
  ctl::Attempts attempts(servers.size(), kind);
  while (const auto server = attempts.Next(this->LeftMs() > 0)) {
    if (attempts.NewRound()) {
      std::this_thread::sleep_for(kRoundPause);
    }
    attempts.Record(AnswerOf(this->client.SendAndWait(
        this->MakeCall(servers[*server], path, body,
                       kind == CallKind::kRead ? kReadMs : kChangeMs))));
  }
  return attempts.End();
}

ExitCode Runner::Fail(const Servers& servers,
                      const Ending& ending,
                      const std::string& hint) {
  const ExitCode code = ctl::ExitCodeOf(ending);
  const std::string& server = servers[ending.server];
  if (ending.verdict == Verdict::kUnreachable) {
    std::fprintf(stderr,
                 "kchctl: none of %zu servers could be reached; the last was "
                 "%s (%s); check --entries or --maintain and the network\n",
                 servers.size(), server.c_str(),
                 ctl::Printable(ending.answer.error).c_str());
    return code;
  }
  if (this->settings.json && !ending.answer.body.empty()) {
    this->Print(ending.answer.body);
  }
  if (ending.verdict == Verdict::kUnknown) {
    const std::string reason =
        ending.answer.reach == Reach::kAnswered
            ? "status " + std::to_string(ending.answer.code)
            : ctl::Printable(ending.answer.error);
    std::fprintf(stderr,
                 "kchctl: outcome unknown, it may have taken effect (%s: %s); "
                 "%s\n",
                 server.c_str(), reason.c_str(), hint.c_str());
    return code;
  }
  std::fprintf(
      stderr, "kchctl: %s",
      ctl::RenderRefusal(ending.answer.code, ending.answer.body).c_str());
  return code;
}

std::optional<config::State> Runner::ReadConfig() {
  const Ending ending = this->Call(this->settings.entries, "/v1/admin/config",
                                   CallKind::kRead, nullptr);
  this->failure = ctl::ExitCodeOf(ending);
  if (this->failure != ExitCode::kDone) {
    (void)this->Fail(this->settings.entries, ending, "");
    return std::nullopt;
  }
  auto state = config::Decode<config::State>(ending.answer.body);
  if (!state) {
    this->failure =
        this->Refuse({state.error().kind,
                      "entry " + this->settings.entries[ending.server] +
                          " has a configuration that kchctl cannot read (" +
                          state.error().message + ")",
                      "use the kchctl of the entries' version, or --json"});
    return std::nullopt;
  }
  return *std::move(state);
}

std::optional<std::vector<json>> Runner::AskAll(const std::string& path) {
  const Servers& entries = this->settings.entries;
  std::vector<json> answers;
  Ending last;
  std::vector<Answer> results = this->CallEach(entries, path, kReadMs);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    ctl::Attempts attempts(1, CallKind::kRead);
    attempts.Record(std::move(results[i]));
    Ending ending = attempts.End();
    ending.server = i;
    const ExitCode code = ctl::ExitCodeOf(ending);
    json body = json::parse(ending.answer.body, nullptr, false);
    if (code == ExitCode::kDone && body.is_object()) {
      body["entry"] = entries[i];
      answers.push_back(std::move(body));
      continue;
    }
    this->incomplete = true;
    std::fprintf(stderr, "kchctl: entry %s gave no report (%s)\n",
                 entries[i].c_str(),
                 ending.answer.reach == Reach::kAnswered
                     ? ("status " + std::to_string(ending.answer.code)).c_str()
                     : ctl::Printable(ending.answer.error).c_str());
    // A refusal tells the operator more than a silent entry.
    if (last.verdict != Verdict::kAnswered) {
      last = std::move(ending);
    }
  }
  if (answers.empty()) {
    this->failure = this->Fail(entries, last, "");
    this->failure =
        this->failure == ExitCode::kDone ? ExitCode::kRefused : this->failure;
    return std::nullopt;
  }
  return answers;
}

std::optional<ctl::Reports> Runner::ReadReports() {
  auto answers = this->AskAll("/v1/admin/status");
  if (!answers) {
    return std::nullopt;
  }
  return ctl::DistinctReports(*std::move(answers));
}

ExitCode Runner::Do(const ctl::ShowHelp& /*command*/) {
  this->Print(ctl::CommandHelp());
  return ExitCode::kDone;
}

ExitCode Runner::Do(const ctl::ShowList& command) {
  using ctl::ListKind;
  if (command.kind == ListKind::kOrders) {
    const Ending ending =
        this->Call(this->settings.maintainers, "/v1/admin/status",
                   CallKind::kRead, nullptr);
    return this->FinishOrder(ending, "");
  }
  const bool needs_config =
      command.kind != ListKind::kInstances && command.kind != ListKind::kStatus;
  const bool needs_reports = command.kind == ListKind::kTeams ||
                             command.kind == ListKind::kPools ||
                             command.kind == ListKind::kZones || !needs_config;
  // Raw answers are for programs: the configuration, then a line per entry.
  if (this->settings.json) {
    if (needs_config) {
      const Ending ending = this->Call(
          this->settings.entries, "/v1/admin/config", CallKind::kRead, nullptr);
      if (ctl::ExitCodeOf(ending) != ExitCode::kDone) {
        return this->Fail(this->settings.entries, ending, "");
      }
      this->Print(ending.answer.body);
    }
    if (needs_reports) {
      const auto reports = this->ReadReports();
      if (!reports) {
        return this->failure;
      }
      for (const json& report : *reports) {
        this->Print(report.dump());
      }
    }
    return ExitCode::kDone;
  }
  config::State state;
  if (needs_config) {
    auto read = this->ReadConfig();
    if (!read) {
      return this->failure;
    }
    state = *std::move(read);
  }
  ctl::Reports reports;
  if (needs_reports) {
    auto read = this->ReadReports();
    if (!read) {
      return this->failure;
    }
    reports = *std::move(read);
  }
  switch (command.kind) {
    case ListKind::kKeys:
      this->Print(ctl::RenderKeys(state));
      break;
    case ListKind::kTeams:
      this->Print(ctl::RenderTeams(state, reports));
      break;
    case ListKind::kProfiles:
      this->Print(ctl::RenderProfiles(state));
      break;
    case ListKind::kPools:
      this->Print(ctl::RenderPools(state, reports));
      break;
    case ListKind::kZones:
      this->Print(ctl::RenderZones(state, reports));
      break;
    case ListKind::kInstances:
      this->Print(ctl::RenderInstances(reports));
      return ExitCode::kDone;
    case ListKind::kStatus:
      this->Print(ctl::RenderStatus(reports));
      break;
    case ListKind::kConfig:
      this->Print(ctl::RenderConfig(state));
      break;
    case ListKind::kOrders:
      break;
  }
  for (const std::string& line : ctl::MissingReports(reports)) {
    std::fprintf(stderr, "kchctl: %s\n", line.c_str());
  }
  return ExitCode::kDone;
}

ExitCode Runner::Do(const ctl::ShowProfile& command) {
  if (this->settings.json) {
    return this->Do(ctl::ShowList{ctl::ListKind::kConfig});
  }
  const auto state = this->ReadConfig();
  if (!state) {
    return this->failure;
  }
  const auto text = ctl::RenderProfile(*state, command.id);
  if (!text) {
    return this->Refuse(text.error());
  }
  this->Print(*text);
  return ExitCode::kDone;
}

ExitCode Runner::Do(const ctl::Explain& command) {
  const auto answers =
      this->AskAll("/v1/admin/explain?id=" + ctl::EncodeQuery(command.id));
  if (!answers) {
    return this->failure;
  }
  const auto text = ctl::RenderExplain(command.id, *answers);
  if (this->settings.json) {
    for (const json& answer : *answers) {
      this->Print(answer.dump());
    }
  } else if (text) {
    this->Print(*text);
  }
  if (text) {
    return ExitCode::kDone;
  }
  (void)this->Refuse(text.error());
  // Only the pool's scheduler knows a request, and it may be the silent one.
  return this->incomplete ? ExitCode::kUnknown : ExitCode::kRefused;
}

ExitCode Runner::Do(const ctl::GrantKey& command) {
  const ctl::NewKey key =
      ctl::MakeKey(command, RandomBytes(ctl::kKeyRandomBytes));
  return this->Propose(config::Proposal{.change = config::GrantKey{key.key}},
                       key.text);
}

ExitCode Runner::Do(const ctl::EditObject& command) {
  const auto state = this->ReadConfig();
  return state ? this->Propose(ctl::ProposeEdit(command, *state))
               : this->failure;
}

ExitCode Runner::Do(const ctl::SetZoneService& command) {
  const auto state = this->ReadConfig();
  if (!state) {
    return this->failure;
  }
  // A configured zone needs no reports, so that a silent entry delays nothing.
  if (state->Find(command.id) != nullptr) {
    return this->Propose(ctl::ProposeZone(command, *state, {}));
  }
  const auto reports = this->ReadReports();
  return reports ? this->Propose(ctl::ProposeZone(command, *state, *reports))
                 : this->failure;
}

ExitCode Runner::Do(const ctl::RetireInstance& command) {
  const auto reports = this->ReadReports();
  return reports ? this->Propose(ctl::ProposeRetirement(command, *reports))
                 : this->failure;
}

ExitCode Runner::Do(const ctl::SendChange& command) {
  return this->Propose(config::Proposal{.change = command.change});
}

ExitCode Runner::Propose(const Result<config::Proposal>& proposal,
                         const std::string& key) {
  if (!proposal) {
    return this->Refuse(proposal.error());
  }
  config::Proposal sent = *proposal;
  sent.change_id = this->settings.change_id;
  const std::string body = ctl::EncodeProposal(sent);
  const Ending ending = this->Call(this->settings.entries, "/v1/admin/changes",
                                   CallKind::kRepeatable, &body);
  if (ctl::ExitCodeOf(ending) != ExitCode::kDone) {
    return this->Fail(
        this->settings.entries, ending,
        key.empty()
            ? "find out by the same command with --change-id=" + sent.change_id
            : "see kchctl key list; if the key is there, withdraw it "
              "and grant another, since its secret is lost");
  }
  json answer = json::parse(ending.answer.body, nullptr, false);
  const auto force = ctl::ForceOf(answer);
  if (!force) {
    return this->Refuse({ErrorKind::kCorrupt,
                         "the entry's answer to the change is not understood",
                         "use the kchctl of the entries' version"});
  }
  if (this->settings.json) {
    if (!key.empty()) {
      answer["key"] = key;
    }
    this->Print(key.empty() ? ending.answer.body : answer.dump());
  } else if (!key.empty()) {
    this->Print("key " + key + "\n");
  }
  return this->WaitForForce(*force);
}

ExitCode Runner::WaitForForce(ctl::Force force) {
  while (this->settings.wait && !force.pending.empty() && this->LeftMs() > 0) {
    std::this_thread::sleep_for(kPollPause);
    const Ending ending = this->Call(this->settings.entries, "/v1/admin/status",
                                     CallKind::kRead, nullptr);
    const json report = json::parse(ending.answer.body, nullptr, false);
    if (ctl::ExitCodeOf(ending) == ExitCode::kDone && report.is_object()) {
      force = ctl::ForceIn(report, force.revision);
    }
  }
  if (!this->settings.json) {
    this->Print(ctl::RenderForce(force));
  }
  if (this->settings.wait && !force.pending.empty()) {
    std::fprintf(stderr,
                 "kchctl: accepted, but not in force everywhere after "
                 "--timeout-ms=%d; see kchctl instance list\n",
                 this->settings.timeout_ms);
    return ExitCode::kUnknown;
  }
  return ExitCode::kDone;
}

ExitCode Runner::FinishOrder(const Ending& ending, const std::string& hint) {
  const ExitCode code = ctl::ExitCodeOf(ending);
  if (code != ExitCode::kDone) {
    return this->Fail(this->settings.maintainers, ending, hint);
  }
  const json answer = json::parse(ending.answer.body, nullptr, false);
  if (this->settings.json || answer.is_discarded()) {
    this->Print(ending.answer.body);
  } else {
    this->Print(ctl::RenderJson(answer));
  }
  return code;
}

ExitCode Runner::Do(const ctl::SendOrder& command) {
  ctl::SendOrder order = command;
  if (order.kind != ctl::OrderKind::kRollout) {
    const auto answers = this->AskAll("/v1/admin/explain?id=" +
                                      ctl::EncodeQuery(order.vm.str()));
    if (!answers) {
      return this->failure;
    }
    const auto pool = ctl::PoolOfVm(order.vm, *answers);
    if (!pool) {
      return this->Refuse(pool.error());
    }
    order.pool = *pool;
  }
  const std::string body = ctl::EncodeOrder(order, this->settings.change_id);
  return this->FinishOrder(
      this->Call(this->settings.maintainers, "/v1/admin/orders",
                 CallKind::kRepeatable, &body),
      "find out by the same command with --change-id=" +
          this->settings.change_id);
}

ExitCode Runner::Do(const ctl::AddVm& command) {
  const std::string body = ctl::EncodeVm(command);
  return this->FinishOrder(this->Call(this->settings.maintainers,
                                      "/v1/admin/vms", CallKind::kOnce, &body),
                           "see kchctl explain " + command.id.str());
}

}  // namespace kch::app

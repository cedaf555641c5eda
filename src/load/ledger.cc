#include "load/ledger.h"

#include <nlohmann/json.hpp>
#include <set>

namespace kch::load {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxExamples = 10;

std::string TextOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

// What the workers report about one request.
struct Facts {
  std::uint64_t starts = 0;
  std::uint64_t checkpointed = 0;
  bool done = false;
  std::set<std::string> done_tasks;
  std::set<std::string> teams;
};

void Note(Findings& findings,
          Fault fault,
          const Request& request,
          const std::string& detail) {
  ++findings.faults[fault];
  if (findings.examples.size() < kMaxExamples) {
    findings.examples.push_back(std::string(NameOf(fault)) + ": " + request.id +
                                " of " + request.team + ": " + detail);
  }
}

void CheckAnswer(Findings& findings,
                 const Request& request,
                 const Answer& answer) {
  if (answer.outcome == Outcome::kInvalid) {
    Note(findings, Fault::kInvalid, request, answer.reason);
  }
  if (answer.outcome != Outcome::kDone) {
    return;
  }
  if (answer.worker_echo != request.id) {
    Note(findings, Fault::kMixedUp, request,
         "the answer echoes " + answer.worker_echo);
  } else if (answer.worker_team != request.team) {
    Note(findings, Fault::kMixedUp, request,
         "the answer is for team " + answer.worker_team);
  } else if (answer.worker_task != answer.task) {
    Note(findings, Fault::kMixedUp, request,
         "the entry names task " + answer.task + ", the worker " +
             answer.worker_task);
  }
}

void CheckRuns(Findings& findings,
               const Request& request,
               const Answer& answer,
               const Facts& facts) {
  if (answer.outcome == Outcome::kNotRun && facts.starts > 0) {
    Note(findings, Fault::kNotRunButRan, request,
         std::to_string(facts.starts) + " starts, reason " + answer.reason);
  }
  if (answer.outcome == Outcome::kNotSent && facts.starts > 0) {
    Note(findings, Fault::kNotRunButRan, request, "it was never sent");
  }
  if (answer.outcome == Outcome::kDone &&
      !facts.done_tasks.contains(answer.task)) {
    Note(findings, Fault::kDoneButNotRun, request, "task " + answer.task);
  }
  // A start from a checkpoint continues the earlier one.
  if (request.unrepeatable && facts.starts > facts.checkpointed + 1) {
    Note(findings, Fault::kRanTwice, request,
         std::to_string(facts.starts) + " starts");
  }
  for (const std::string& team : facts.teams) {
    if (team != request.team) {
      Note(findings, Fault::kWrongTeam, request, "it ran for " + team);
    }
  }
}

}  // namespace

Answer ParseAnswer(std::string_view text) {
  Answer answer{.outcome = Outcome::kInvalid};
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) {
    answer.reason = "the answer is not a JSON object";
    return answer;
  }
  answer.task = TextOf(parsed, "task");
  answer.reason = TextOf(parsed, "reason");
  const std::string name = TextOf(parsed, "outcome");
  if (name != "done" && name != "failed" && name != "not_run" &&
      name != "unknown") {
    answer.reason = "the outcome is '" + name + "'";
    return answer;
  }
  const Outcome outcome = FromName<Outcome>(name).value_or(Outcome::kInvalid);
  if (outcome == Outcome::kDone) {
    const json body = json::parse(TextOf(parsed, "body"), nullptr, false);
    if (!body.is_object()) {
      answer.reason = "the worker's answer is incomplete";
      return answer;
    }
    answer.worker_task = TextOf(body, "task");
    answer.worker_team = TextOf(body, "team");
    answer.worker_echo = TextOf(body, "echo");
  }
  answer.outcome = outcome;
  return answer;
}

Result<std::vector<Run>> ParseLog(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("events") ||
      !parsed["events"].is_array()) {
    return Fail(ErrorKind::kCorrupt, "a worker's log is malformed",
                "check that --workers names fake workers");
  }
  std::vector<Run> runs;
  for (const json& event : parsed["events"]) {
    runs.push_back({.id = TextOf(event, "echo"),
                    .task = TextOf(event, "task"),
                    .team = TextOf(event, "team"),
                    .start = TextOf(event, "event") == "start",
                    .outcome = TextOf(event, "outcome")});
  }
  return runs;
}

void Ledger::Sent(Request request) {
  const std::string id = request.id;
  this->entries[id].request = std::move(request);
}

void Ledger::Answered(const std::string& id, Answer answer) {
  Entry& entry = this->entries[id];
  entry.answered = true;
  entry.answer = std::move(answer);
}

std::uint64_t Ledger::Count(Outcome outcome) const {
  std::uint64_t count = 0;
  for (const auto& [id, entry] : this->entries) {
    if (entry.answered && entry.answer.outcome == outcome) {
      ++count;
    }
  }
  return count;
}

std::map<std::string, std::uint64_t> Ledger::Reasons() const {
  std::map<std::string, std::uint64_t> reasons;
  for (const auto& [id, entry] : this->entries) {
    if (entry.answered && !entry.answer.reason.empty()) {
      ++reasons[std::string(NameOf(entry.answer.outcome)) + ": " +
                entry.answer.reason];
    }
  }
  return reasons;
}

Findings Ledger::Reconcile(const std::vector<Run>& runs,
                           bool has_logs,
                           bool broken_allowed) const {
  std::unordered_map<std::string, Facts> facts;
  for (const Run& run : runs) {
    Facts& known = facts[run.id];
    known.teams.insert(run.team);
    if (run.start) {
      ++known.starts;
    } else if (run.outcome == "checkpointed") {
      ++known.checkpointed;
    } else if (run.outcome == "done") {
      known.done = true;
      known.done_tasks.insert(run.task);
    }
  }
  Findings findings;
  for (const auto& [id, entry] : this->entries) {
    if (!entry.answered) {
      Note(findings, Fault::kLost, entry.request, "no answer");
    } else if (entry.answer.outcome == Outcome::kBroken && !broken_allowed) {
      Note(findings, Fault::kLost, entry.request, entry.answer.reason);
    }
    CheckAnswer(findings, entry.request, entry.answer);
    if (!has_logs) {
      continue;
    }
    const Facts& known = facts[id];
    CheckRuns(findings, entry.request, entry.answer, known);
    findings.starts += known.starts;
    if (known.done && entry.answer.outcome != Outcome::kDone) {
      ++findings.unseen;
    }
  }
  return findings;
}

}  // namespace kch::load

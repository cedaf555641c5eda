#include "test/process/callers.h"

#include <boost/test/unit_test.hpp>

namespace kch::test {

using load::Outcome;

namespace {
constexpr int kForbidden = 403;
}  // namespace

Callers::~Callers() {
  this->Stop();
}

void Callers::Start(const CallerOptions& options) {
  for (std::size_t entry = 0; entry < this->fleet.options().entries; ++entry) {
    for (std::size_t i = 0; i < options.callers_per_entry; ++i) {
      this->threads.emplace_back(
          [this, options, entry, caller = this->threads.size()] {
            this->Run(options, entry, caller);
          });
    }
  }
}

void Callers::Run(const CallerOptions& options,
                  std::size_t entry,
                  std::size_t caller) {
  for (int number = 0; !this->stopping; ++number) {
    Request request{.entry = entry,
                    .team = options.team,
                    .id = options.team + "-" + std::to_string(caller) + "-" +
                          std::to_string(number),
                    .run_ms = options.run_ms,
                    .repeatable = number % 100 >= options.unrepeatable_percent};
    {
      const std::lock_guard lock(this->mutex);
      if (this->avoided.contains(entry)) {
        return;
      }
      this->ledger.Sent({request.id, request.team, !request.repeatable});
    }
    const net::HttpResult result = this->fleet.Submit(request);
    load::Answer answer;
    if (result.status == net::CallStatus::kAnswered) {
      answer = load::ParseAnswer(result.body);
    } else {
      answer.outcome = result.status == net::CallStatus::kNotSent
                           ? Outcome::kNotSent
                           : Outcome::kBroken;
      answer.reason = result.error;
    }
    const std::lock_guard lock(this->mutex);
    ++this->counts[entry][answer.outcome];
    if (result.status != net::CallStatus::kAnswered) {
      ++this->broken_counts[entry];
      this->broken.push_back(request.id + " at entry " + std::to_string(entry) +
                             ": " + result.error);
    }
    this->ledger.Answered(request.id, std::move(answer));
    // A caller without a valid key would only flood the entry.
    if (result.code == kForbidden) {
      return;
    }
  }
}

void Callers::Avoid(std::size_t entry) {
  const std::lock_guard lock(this->mutex);
  this->avoided.insert(entry);
}

void Callers::Stop() {
  this->stopping = true;
  this->threads.clear();
}

std::size_t Callers::Count(std::size_t entry, Outcome outcome) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->counts.find(entry);
  if (found == this->counts.end()) {
    return 0;
  }
  const auto count = found->second.find(outcome);
  return count == found->second.end() ? 0 : count->second;
}

std::size_t Callers::Count(Outcome outcome) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < this->fleet.options().entries; ++i) {
    count += this->Count(i, outcome);
  }
  return count;
}

void Callers::WaitForDone(std::size_t count) {
  for (std::size_t i = 0; i < this->fleet.options().entries; ++i) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->avoided.contains(i)) {
        continue;
      }
    }
    const std::size_t wanted = this->Count(i, Outcome::kDone) + count;
    this->fleet.WaitFor("answers of entry " + std::to_string(i), [&] {
      return this->Count(i, Outcome::kDone) >= wanted;
    });
  }
}

void Callers::Check(const std::set<std::size_t>& broken_allowed) {
  std::vector<load::Run> runs;
  for (std::size_t i = 0; i < this->fleet.options().targets; ++i) {
    const auto parsed = load::ParseLog(this->fleet.Log(i));
    BOOST_REQUIRE(parsed.has_value());
    runs.insert(runs.end(), parsed->begin(), parsed->end());
  }
  const std::lock_guard lock(this->mutex);
  const load::Findings findings = this->ledger.Reconcile(runs, true, true);
  for (const auto& [fault, count] : findings.faults) {
    BOOST_ERROR(NameOf(fault) << ": " << count << " requests");
  }
  for (const std::string& example : findings.examples) {
    BOOST_TEST_MESSAGE(example);
  }
  for (const auto& [reason, count] : this->ledger.Reasons()) {
    BOOST_TEST_MESSAGE(reason << ": " << count);
  }
  for (const auto& [entry, count] : this->broken_counts) {
    BOOST_TEST(broken_allowed.contains(entry),
               count << " callers of entry " << entry << " got no answer");
  }
  for (const std::string& text : this->broken) {
    BOOST_TEST_MESSAGE("no answer: " << text);
  }
}

}  // namespace kch::test

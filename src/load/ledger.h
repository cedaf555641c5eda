#ifndef LOAD_LEDGER_H_
#define LOAD_LEDGER_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/name_table.h"

namespace kch::load {

/*! @brief How a request ended for its caller. */
enum class Outcome : std::uint8_t {
  kDone,
  kFailed,
  kNotRun,
  kUnknown,
  kBroken,   // the connection ended without a complete answer
  kNotSent,  // no connection to the entry
  kInvalid,  // the answer does not have the agreed form
};

/*! @brief A guarantee that did not hold. */
enum class Fault : std::uint8_t {
  kLost,           // a request has no answer
  kInvalid,        // an answer does not have the agreed form
  kMixedUp,        // an answer belongs to another request, team or task
  kNotRunButRan,   // the answer is not_run, yet a worker started the task
  kDoneButNotRun,  // the answer is done, yet no worker finished the task
  kRanTwice,       // an unrepeatable request was started more than once
  kWrongTeam,      // a worker ran the task for another team
};

}  // namespace kch::load

template <>
struct kch::NameTable<kch::load::Outcome> {
  using E = kch::load::Outcome;
  static constexpr std::array<std::pair<E, std::string_view>, 7> kEntries{
      {{E::kDone, "done"},
       {E::kFailed, "failed"},
       {E::kNotRun, "not_run"},
       {E::kUnknown, "unknown"},
       {E::kBroken, "broken"},
       {E::kNotSent, "not_sent"},
       {E::kInvalid, "invalid"}}};
};

template <>
struct kch::NameTable<kch::load::Fault> {
  using E = kch::load::Fault;
  static constexpr std::array<std::pair<E, std::string_view>, 7> kEntries{
      {{E::kLost, "lost"},
       {E::kInvalid, "invalid_answer"},
       {E::kMixedUp, "mixed_up"},
       {E::kNotRunButRan, "not_run_but_ran"},
       {E::kDoneButNotRun, "done_but_not_run"},
       {E::kRanTwice, "ran_twice"},
       {E::kWrongTeam, "wrong_team"}}};
};

namespace kch::load {

/*! @brief What the caller asked for. */
struct Request {
  std::string id;  // also the text that the worker echoes
  std::string team;
  bool unrepeatable = false;
};

/*! @brief What the caller got. */
struct Answer {
  Outcome outcome = Outcome::kBroken;
  std::string task;
  std::string reason;
  std::string worker_task;  // of the worker's answer, if the task is done
  std::string worker_team;
  std::string worker_echo;
};

/*! @brief One line of a worker's log. */
struct Run {
  std::string id;  // echoed text
  std::string task;
  std::string team;
  bool start = false;   // else the end
  std::string outcome;  // of an end: done, failed, checkpointed, ...
};

/*! @brief Reads an entry's answer; a malformed one is kInvalid. */
[[nodiscard]] Answer ParseAnswer(std::string_view text);
/*! @brief Reads the body of a worker's `GET /log`. */
[[nodiscard]] Result<std::vector<Run>> ParseLog(std::string_view text);

/*! @brief What reconciliation found. */
struct Findings {
  std::map<Fault, std::uint64_t> faults;
  std::vector<std::string> examples;  // the first few, for people
  std::uint64_t starts = 0;           // of this ledger's requests
  std::uint64_t unseen = 0;  // tasks done whose caller has another outcome

  /*! @brief Whether no guarantee was broken. */
  [[nodiscard]] bool Clean() const { return this->faults.empty(); }
};

/*! @brief All requests of a load and their answers. */
class Ledger {
 public:
  /*! @brief Records a request before it is sent. */
  void Sent(Request request);
  /*! @brief Records the one answer of a request. */
  void Answered(const std::string& id, Answer answer);
  /*! @brief How many requests ended with the outcome. */
  [[nodiscard]] std::uint64_t Count(Outcome outcome) const;
  /*! @brief How often each reason was given. */
  [[nodiscard]] std::map<std::string, std::uint64_t> Reasons() const;
  /*! @brief Checks answers against requests and the workers' logs. With
   * broken_allowed, a broken connection does not count as a lost request. */
  [[nodiscard]] Findings Reconcile(const std::vector<Run>& runs,
                                   bool has_logs,
                                   bool broken_allowed) const;

 private:
  struct Entry {
    Request request;
    bool answered = false;
    Answer answer;
  };

  std::unordered_map<std::string, Entry> entries;
};

}  // namespace kch::load

#endif  // LOAD_LEDGER_H_

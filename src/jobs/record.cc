#include "jobs/record.h"

#include <nlohmann/json.hpp>

namespace kch::jobs {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxSteps = 256;
// Each task's order carries the payload. Submitters have 4,000 characters.
constexpr std::size_t kMaxPayloadBytes = 16'000;
// Checkpoints in a record, which the store bounds at 1 MB. Tasks whose
// checkpoints have no room repeat their work after a takeover.
constexpr std::size_t kMaxCheckpointBytes = 256 << 10;
// Latest due time, in the year 5138: far enough from where times overflow.
constexpr std::int64_t kMaxDueMs = 100'000'000'000'000;

tl::unexpected<Error> Corrupt(const std::string& what) {
  return Fail(ErrorKind::kCorrupt, what,
              "read the record with kchctl and remove it if no instance wrote "
              "it");
}

tl::unexpected<Error> Invalid(const std::string& what) {
  return Fail(ErrorKind::kInvalid, what, "correct the job and submit it again");
}

void PutUnlessDefault(json& row, const char* name, std::int64_t value) {
  if (value != 0) {
    row[name] = value;
  }
}

void PutUnlessDefault(json& row, const char* name, bool value) {
  if (value) {
    row[name] = true;
  }
}

void PutUnlessDefault(json& row, const char* name, const std::string& value) {
  if (!value.empty()) {
    row[name] = value;
  }
}

json EncodeStep(const StepSpec& step) {
  json row{{"count", step.count}, {"estimate_ms", step.estimate_ms}};
  PutUnlessDefault(row, "cpu_m", step.need.cpu_m);
  PutUnlessDefault(row, "memory_mb", step.need.memory_mb);
  PutUnlessDefault(row, "gpus", step.need.gpus);
  if (!step.depends_on.empty()) {
    row["after"] = step.depends_on;
  }
  PutUnlessDefault(row, "label", step.label);
  PutUnlessDefault(row, "near", step.preferred_rack.str());
  PutUnlessDefault(row, "max_per_vm", std::int64_t{step.max_per_vm});
  PutUnlessDefault(row, "saves", step.writes_checkpoints);
  PutUnlessDefault(row, "gang", step.gang);
  PutUnlessDefault(row, "one_rack", step.single_rack);
  PutUnlessDefault(row, "copies", step.speculative);
  PutUnlessDefault(row, "endless", step.endless);
  PutUnlessDefault(row, "fills", step.backfill);
  PutUnlessDefault(row, "image", step.image);
  PutUnlessDefault(row, "target_ms", step.target_ms);
  PutUnlessDefault(row, "may_miss", std::int64_t{step.max_unavailable});
  return row;
}

StepSpec DecodeStep(const json& row) {
  StepSpec step;
  step.count = row.at("count");
  step.estimate_ms = row.at("estimate_ms");
  step.need = {row.value("cpu_m", std::int64_t{0}),
               row.value("memory_mb", std::int64_t{0}),
               row.value("gpus", std::int64_t{0})};
  step.depends_on = row.value("after", std::vector<std::int32_t>{});
  step.label = row.value("label", "");
  step.preferred_rack = RackId(row.value("near", ""));
  step.max_per_vm = row.value("max_per_vm", 0);
  step.writes_checkpoints = row.value("saves", false);
  step.gang = row.value("gang", false);
  step.single_rack = row.value("one_rack", false);
  step.speculative = row.value("copies", false);
  step.endless = row.value("endless", false);
  step.backfill = row.value("fills", false);
  step.image = row.value("image", "");
  step.target_ms = row.value("target_ms", std::int64_t{0});
  step.max_unavailable = row.value("may_miss", 0);
  return step;
}

// A number, or the first and the last number of a range.
json EncodeFinished(const NumberRanges& finished) {
  json rows = json::array();
  for (const auto& [first, last] : finished.ranges()) {
    if (first == last) {
      rows.push_back(first);
    } else {
      rows.push_back({first, last});
    }
  }
  return rows;
}

std::int32_t OccurrenceIn(const json& number, const JobSpec& spec) {
  if (!number.is_number_integer() || number.get<std::int64_t>() < 0 ||
      number.get<std::int64_t>() >= spec.Occurrences()) {
    throw std::out_of_range("the job has no occurrence " + number.dump());
  }
  return number;
}

NumberRanges DecodeFinished(const json& rows, const JobSpec& spec) {
  NumberRanges finished;
  for (const json& row : rows) {
    const std::int32_t first =
        OccurrenceIn(row.is_array() ? row.at(0) : row, spec);
    const std::int32_t last =
        OccurrenceIn(row.is_array() ? row.at(1) : row, spec);
    if (last < first) {
      throw std::out_of_range("a range of occurrences ends before it begins");
    }
    finished.Insert(first, last);
  }
  return finished;
}

// Of occurrences without progress the schedule tells all.
bool HasProgress(const Occurrence& occurrence) {
  return std::ranges::any_of(occurrence.steps, [](const Step& step) {
    return !step.gang_failed_runs.empty() ||
           std::ranges::any_of(step.tasks, [](const Task& task) {
             return task.phase == TaskPhase::kDone || task.run > 0 ||
                    task.run_floor > 0 || !task.failed_runs.empty() ||
                    !task.checkpoint.empty();
           });
  });
}

// One character a task keeps the record of a wide step small.
json EncodeOccurrence(const Occurrence& occurrence, std::size_t& room) {
  json steps = json::array();
  for (const Step& step : occurrence.steps) {
    std::string done;
    std::int64_t run = 0;
    json failures = json::object();
    json checkpoints = json::object();
    for (const Task& task : step.tasks) {
      done += task.phase == TaskPhase::kDone ? '1' : '0';
      run = std::max({run, task.run, task.run_floor});
      if (task.phase == TaskPhase::kDone) {
        continue;
      }
      if (!task.failed_runs.empty()) {
        failures[std::to_string(task.index)] = task.failed_runs;
      }
      if (!task.checkpoint.empty() && task.checkpoint.size() <= room) {
        room -= task.checkpoint.size();
        checkpoints[std::to_string(task.index)] = task.checkpoint;
      }
    }
    json row{{"done", done}, {"run", run}};
    if (!failures.empty()) {
      row["failures"] = failures;
    }
    if (!checkpoints.empty()) {
      row["checkpoints"] = checkpoints;
    }
    if (!step.gang_failed_runs.empty()) {
      row["gang_failures"] = step.gang_failed_runs;
    }
    steps.push_back(std::move(row));
  }
  return {{"number", occurrence.number}, {"steps", steps}};
}

void DecodeTasks(const json& row, Step& step) {
  const std::string done = row.at("done");
  if (done.size() != step.tasks.size()) {
    throw std::invalid_argument("number of tasks differs from the job's");
  }
  const std::int64_t run = row.at("run");
  for (Task& task : step.tasks) {
    task.run_floor = run;
    if (done[static_cast<std::size_t>(task.index)] == '1') {
      task.phase = TaskPhase::kDone;
      --step.waiting;
      ++step.done;
    }
  }
  if (const auto failures = row.find("failures"); failures != row.end()) {
    for (const auto& [index, runs] : failures->items()) {
      step.tasks.at(std::stoul(index)).failed_runs =
          runs.get<std::set<std::int64_t>>();
    }
  }
  if (const auto saved = row.find("checkpoints"); saved != row.end()) {
    for (const auto& [index, text] : saved->items()) {
      step.tasks.at(std::stoul(index)).checkpoint = text;
    }
  }
  step.gang_failed_runs = row.value("gang_failures", std::set<std::int64_t>{});
}

}  // namespace

Result<void> CheckSpec(const JobSpec& spec) {
  if (!IsJobId(spec.id.str())) {
    return Invalid("job id '" + spec.id.str() +
                   "' must have 1 to 64 letters, digits, '-' and '_'");
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return Invalid("the payload has more than " +
                   std::to_string(kMaxPayloadBytes) + " bytes");
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return Invalid("a job must have 1 to 256 steps");
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    const std::string name = "step " + std::to_string(i);
    if (step.count < 1) {
      return Invalid(name + " must have at least one task");
    }
    if (step.need.cpu_m < 0 || step.need.memory_mb < 0 || step.need.gpus < 0 ||
        step.estimate_ms < 0 || step.max_per_vm < 0 ||
        step.max_unavailable < 0) {
      return Invalid(name + " has a negative amount");
    }
    if (step.depends_on.size() > i) {
      return Invalid(name + " depends on more steps than come before it");
    }
    for (const std::int32_t before : step.depends_on) {
      if (before < 0 || static_cast<std::size_t>(before) >= i) {
        return Invalid(name + " may only depend on earlier steps");
      }
    }
  }
  if (spec.TasksPerOccurrence() > kMaxTasksPerJob) {
    return Invalid("a job may have at most " + std::to_string(kMaxTasksPerJob) +
                   " tasks");
  }
  if (spec.schedule.times < 0 || spec.schedule.interval_ms < 0) {
    return Invalid("the schedule has a negative amount");
  }
  const std::int64_t intervals = spec.Occurrences() - 1;
  if (spec.schedule.first_ms > kMaxDueMs ||
      (intervals > 0 && spec.schedule.interval_ms >
                            (kMaxDueMs - spec.schedule.first_ms) / intervals)) {
    return Invalid("the schedule's last time is more than " +
                   std::to_string(kMaxDueMs) + " ms after 1970");
  }
  return {};
}

std::string EncodeSpec(const JobSpec& spec) {
  json steps = json::array();
  for (const StepSpec& step : spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  json record{{"queue", spec.queue.id.str()},
              {"pool", spec.queue.pool.str()},
              {"priority", spec.queue.priority},
              {"max_attempts", spec.queue.max_attempts},
              {"stretch", spec.queue.stretch},
              {"target_ms", spec.queue.target_ms},
              {"payload", spec.payload},
              {"accepted_ms", spec.accepted_ms},
              {"steps", steps}};
  PutUnlessDefault(record, "team", spec.team.str());
  PutUnlessDefault(record, "advised", spec.queue.advised);
  if (spec.schedule.times > 0) {
    record["first_ms"] = spec.schedule.first_ms;
    record["interval_ms"] = spec.schedule.interval_ms;
    record["times"] = spec.schedule.times;
  }
  return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobSpec> DecodeSpec(const JobId& id, std::string_view text) {
  JobSpec spec;
  try {
    const json record = json::parse(text);
    spec.id = id;
    spec.queue = {.id = QueueId(record.at("queue").get<std::string>()),
                  .pool = PoolId(record.at("pool").get<std::string>()),
                  .priority = record.at("priority"),
                  .max_attempts = record.at("max_attempts"),
                  .stretch = record.at("stretch"),
                  .target_ms = record.at("target_ms"),
                  .advised = record.value("advised", false)};
    spec.team = TeamId(record.value("team", ""));
    spec.payload = record.at("payload");
    spec.accepted_ms = record.at("accepted_ms");
    for (const json& row : record.at("steps")) {
      spec.steps.push_back(DecodeStep(row));
    }
    spec.schedule = {record.value("first_ms", std::int64_t{0}),
                     record.value("interval_ms", std::int64_t{0}),
                     record.value("times", 0)};
  } catch (const std::exception& error) {
    return Corrupt("job " + id.str() +
                   " has an unreadable record: " + error.what());
  }
  if (auto checked = CheckSpec(spec); !checked) {
    return tl::unexpected(checked.error());
  }
  return spec;
}

std::string EncodeProgress(const Job& job) {
  json open = json::array();
  std::size_t room = kMaxCheckpointBytes;
  for (const auto& [number, occurrence] : job.open) {
    if (!job.finished.Contains(number) && HasProgress(occurrence)) {
      open.push_back(EncodeOccurrence(occurrence, room));
    }
  }
  return json{{"state", NameOf(job.state)},
              {"open", open},
              {"finished", EncodeFinished(job.finished)}}
      .dump();
}

std::string EncodeEnded(const Job& job) {
  return json{{"state", NameOf(job.state)},
              {"team", job.spec.team.str()},
              {"queue", job.spec.queue.id.str()}}
      .dump();
}

Result<JobView> DecodeEnded(std::string_view text) {
  const auto state = DecodeState(text);
  if (!state) {
    return tl::unexpected(state.error());
  }
  const json record = json::parse(text);
  return JobView{.state = *state,
                 .team = TeamId(record.value("team", "")),
                 .queue = QueueId(record.value("queue", ""))};
}

Result<void> DecodeProgress(std::string_view text, Job& job) {
  try {
    const json record = json::parse(text);
    const auto state =
        FromName<JobState>(record.at("state").get<std::string>());
    if (!state) {
      return Corrupt("job " + job.spec.id.str() + " has an unknown state");
    }
    job.state = *state;
    job.finished = DecodeFinished(record.at("finished"), job.spec);
    for (const json& row : record.at("open")) {
      const std::int32_t number = OccurrenceIn(row.at("number"), job.spec);
      if (job.finished.Contains(number)) {
        continue;
      }
      Occurrence& occurrence = job.OpenOccurrence(number);
      const json& steps = row.at("steps");
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        DecodeTasks(steps.at(s), occurrence.steps[s]);
      }
      // Earlier versions stored all due occurrences.
      if (!HasProgress(occurrence)) {
        job.open.erase(number);
      }
    }
    job.first_unopened = job.FirstUnopened(0);
  } catch (const std::exception& error) {
    return Corrupt("progress of job " + job.spec.id.str() +
                   " is unreadable: " + error.what());
  }
  return {};
}

std::string EncodeVmRecord(const VmRecord& record) {
  const VmFacts& vm = record.facts;
  return json{{"pool", vm.pool.str()},
              {"address", vm.address},
              {"zone", vm.zone.str()},
              {"rack", vm.rack.str()},
              {"labels", vm.labels},
              {"cpu_m", vm.capacity.cpu_m},
              {"memory_mb", vm.capacity.memory_mb},
              {"gpus", vm.capacity.gpus},
              {"boot_ms", vm.boot_ms},
              {"earlier_lease", record.earlier_lease}}
      .dump();
}

Result<VmRecord> DecodeVmRecord(const VmId& id, std::string_view text) {
  try {
    const json row = json::parse(text);
    return VmRecord{
        .facts = {.id = id,
                  .pool = PoolId(row.at("pool").get<std::string>()),
                  .address = row.at("address"),
                  .zone = ZoneId(row.at("zone").get<std::string>()),
                  .rack = RackId(row.at("rack").get<std::string>()),
                  .labels = row.at("labels").get<std::set<std::string>>(),
                  .capacity = {row.at("cpu_m"), row.at("memory_mb"),
                               row.at("gpus")},
                  .boot_ms = row.at("boot_ms")},
        // Records of earlier versions lack it.
        .earlier_lease = row.value("earlier_lease", false)};
  } catch (const std::exception& error) {
    return Corrupt("the record of VM " + id.str() +
                   " is unreadable: " + error.what());
  }
}

Result<JobState> DecodeState(std::string_view text) {
  const json record = json::parse(text, nullptr, false);
  if (record.is_object()) {
    const auto name = record.find("state");
    if (name != record.end() && name->is_string()) {
      if (const auto state = FromName<JobState>(name->get<std::string>())) {
        return *state;
      }
    }
  }
  return Corrupt("a progress record has no readable state");
}

}  // namespace kch::jobs

#include "ctl/render.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <map>
#include <set>

namespace kch::ctl {
namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

// Longer cells of unknown answers would break the alignment of a terminal.
constexpr std::size_t kMaxCell = 48;

bool IsNumber(const std::string& cell) {
  return cell == "-" ||
         (!cell.empty() &&
          cell.find_first_not_of("0123456789.%") == std::string::npos);
}

std::string YesNo(bool value) {
  return value ? "yes" : "no";
}

std::string Percent(double share) {
  return std::to_string(std::lround(share * 100)) + "%";
}

std::string Whole(double number) {
  return std::to_string(static_cast<std::int64_t>(number));
}

// Fields of an object as two columns without a heading.
std::string Fields(const json& object, const std::string& indent) {
  std::size_t width = 0;
  for (const auto& item : object.items()) {
    width = std::max(width, item.key().size());
  }
  std::string text;
  for (const auto& item : object.items()) {
    text += indent + Printable(item.key()) +
            std::string(width - item.key().size() + 2, ' ') +
            CellOf(item.value()) + "\n";
  }
  return text;
}

// What the scheduler of a pool reports about it, else what another entry does.
struct PoolView {
  json report;
  bool from_scheduler = false;
};

std::map<std::string, PoolView> PoolViews(const Reports& reports) {
  std::map<std::string, PoolView> views;
  for (const json& report : reports) {
    const std::string instance = TextOf(Member(report, "instance"));
    for (const json& pool : Member(report, "pools")) {
      PoolView& view = views[TextOf(Member(pool, "pool"))];
      const bool own = TextOf(Member(pool, "scheduler")) == instance;
      if (view.report.is_null() || (own && !view.from_scheduler)) {
        view = {pool, own};
      }
    }
  }
  return views;
}

struct TeamView {
  double running = 0;
  double waiting = 0;
  double share_slots = 0;
  double slots = 0;
  double excess = 0;
};

std::map<std::string, TeamView> TeamViews(const Reports& reports) {
  std::map<std::string, TeamView> views;
  for (const json& report : reports) {
    const std::string instance = TextOf(Member(report, "instance"));
    for (const json& pool : Member(report, "pools")) {
      const bool own = TextOf(Member(pool, "scheduler")) == instance;
      const json& teams = Member(pool, "teams");
      for (const auto& item : teams.items()) {
        TeamView& view = views[item.key()];
        // A former scheduler may still hold work, so all entries are summed.
        view.running += NumberOf(Member(item.value(), "running"));
        view.waiting += NumberOf(Member(item.value(), "waiting"));
        const double share = NumberOf(Member(item.value(), "share"));
        if (own && share > 0) {
          const double slots = NumberOf(Member(pool, "slots"));
          view.share_slots += share * slots;
          view.slots += slots;
        }
      }
    }
    for (const json& limit : Member(report, "limits")) {
      if (TextOf(Member(limit, "kind")) == "team") {
        // The excess is that of the fleet, as far as each entry knows it.
        TeamView& view = views[TextOf(Member(limit, "name"))];
        view.excess = std::max(view.excess, NumberOf(Member(limit, "excess")));
      }
    }
  }
  return views;
}

std::string RenderPoolTable(const Reports& reports) {
  std::vector<Row> rows{{"POOL", "VMS", "SLOTS", "FREE", "RUNNING", "WAITING",
                         "EJECTED", "SCHEDULER"}};
  for (const auto& [name, view] : PoolViews(reports)) {
    rows.push_back({Printable(name),
                    std::to_string(Member(view.report, "vms").size()),
                    CellOf(Member(view.report, "slots")),
                    CellOf(Member(view.report, "free")),
                    CellOf(Member(view.report, "running")),
                    CellOf(Member(view.report, "waiting")),
                    CellOf(Member(view.report, "ejected")),
                    CellOf(Member(view.report, "scheduler"))});
  }
  return Table(std::move(rows));
}

std::string JsonTable(const json& list, const std::string& indent) {
  // What identifies a row comes first.
  std::vector<std::string> columns;
  std::set<std::string> names;
  for (const json& item : list) {
    for (const auto& member : item.items()) {
      names.insert(member.key());
    }
  }
  for (const char* first : {"pool", "vm", "id", "kind", "state"}) {
    if (names.erase(first) > 0) {
      columns.emplace_back(first);
    }
  }
  columns.insert(columns.end(), names.begin(), names.end());
  std::vector<Row> rows;
  Row& heading = rows.emplace_back();
  for (const std::string& column : columns) {
    std::string title = Printable(column);
    std::ranges::transform(title, title.begin(), [](unsigned char c) {
      return static_cast<char>(std::toupper(c));
    });
    heading.push_back(std::move(title));
  }
  for (const json& item : list) {
    Row& row = rows.emplace_back();
    for (const std::string& column : columns) {
      std::string cell = CellOf(Member(item, column));
      if (cell.size() > kMaxCell) {
        cell = cell.substr(0, kMaxCell - 3) + "...";
      }
      row.push_back(std::move(cell));
    }
  }
  const std::string table = Table(std::move(rows));
  std::string text;
  std::size_t begin = 0;
  while (begin < table.size()) {
    const std::size_t end = table.find('\n', begin) + 1;
    text += indent + table.substr(begin, end - begin);
    begin = end;
  }
  return text;
}

bool IsList(const json& value) {
  return value.is_array() && !value.empty() &&
         std::ranges::all_of(value,
                             [](const json& item) { return item.is_object(); });
}

// Whether a row holds a list or an object of its own, which no cell can show.
bool HasNested(const json& list) {
  return std::ranges::any_of(list, [](const json& item) {
    return std::ranges::any_of(item, [](const json& member) {
      return IsList(member) || (member.is_object() && !member.empty());
    });
  });
}

std::string JsonText(const json& value, const std::string& indent) {
  if (IsList(value) && !HasNested(value)) {
    return JsonTable(value, indent);
  }
  if (IsList(value)) {
    std::string text;
    for (const json& item : value) {
      text += (text.empty() ? "" : "\n") + JsonText(item, indent);
    }
    return text;
  }
  if (!value.is_object()) {
    return indent + CellOf(value) + "\n";
  }
  json plain = json::object();
  std::string nested;
  for (const auto& item : value.items()) {
    const bool is_object = item.value().is_object() && !item.value().empty();
    if (is_object || IsList(item.value())) {
      nested += indent + Printable(item.key()) + ":\n" +
                JsonText(item.value(), indent + "  ");
    } else {
      plain[item.key()] = item.value();
    }
  }
  return Fields(plain, indent) + nested;
}

std::string Names(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : " ") + Printable(name);
  }
  return text.empty() ? "-" : text;
}

}  // namespace

std::string Table(std::vector<Row> rows) {
  std::vector<std::size_t> widths;
  std::vector<bool> numbers;
  for (std::size_t r = 0; r < rows.size(); ++r) {
    widths.resize(std::max(widths.size(), rows[r].size()), 0);
    numbers.resize(widths.size(), true);
    for (std::size_t c = 0; c < rows[r].size(); ++c) {
      widths[c] = std::max(widths[c], rows[r][c].size());
      numbers[c] = numbers[c] && (r == 0 || IsNumber(rows[r][c]));
    }
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (std::size_t c = 0; c < row.size(); ++c) {
      const std::string padding(widths[c] - row[c].size(), ' ');
      line += c == 0 ? "" : "  ";
      line += numbers[c] ? padding + row[c] : row[c] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string RenderKeys(const config::State& state) {
  std::vector<Row> rows{{"KEY", "TEAM", "REVISION"}};
  for (const auto& [id, key] : state.keys) {
    rows.push_back(
        {id.str(), key.value.team.str(), std::to_string(key.revision)});
  }
  return Table(std::move(rows));
}

std::string RenderTeams(const config::State& state, const Reports& reports) {
  auto views = TeamViews(reports);
  std::vector<Row> rows{
      {"TEAM", "WEIGHT", "LIMIT", "RUNNING", "WAITING", "SHARE", "EXCESS"}};
  for (const auto& [id, team] : state.teams) {
    const TeamView& view = views[id.str()];
    rows.push_back(
        {id.str(), std::to_string(team.value.weight),
         std::to_string(team.value.limit), Whole(view.running),
         Whole(view.waiting),
         view.slots > 0 ? Percent(view.share_slots / view.slots) : "-",
         Whole(view.excess)});
  }
  return Table(std::move(rows));
}

std::string RenderProfiles(const config::State& state) {
  std::vector<Row> rows{{"PROFILE", "POOL", "CAPACITY", "OPEN", "URGENT",
                         "PREEMPTIBLE", "LIMIT_CUT", "DRAIN", "REVISION"}};
  for (const auto& [id, profile] : state.profiles) {
    const config::Profile& value = profile.value;
    rows.push_back({id.str(), value.pool.str(), std::to_string(value.capacity),
                    YesNo(value.open), YesNo(value.urgent),
                    YesNo(value.preemptible),
                    std::string(NameOf(value.on_limit_cut)),
                    std::string(NameOf(value.on_drain)),
                    std::to_string(profile.revision)});
  }
  return Table(std::move(rows));
}

std::string RenderPools(const config::State& state, const Reports& reports) {
  const auto views = PoolViews(reports);
  std::vector<Row> rows{{"POOL", "SPARE", "MAX_OUT", "PER_ZONE", "PER_RACK",
                         "VMS", "SLOTS", "FREE", "RUNNING", "WAITING",
                         "SCHEDULER"}};
  for (const auto& [id, pool] : state.pools) {
    const auto found = views.find(id.str());
    const json report = found == views.end() ? json() : found->second.report;
    const json& vms = Member(report, "vms");
    rows.push_back(
        {id.str(), YesNo(pool.value.spare),
         std::to_string(pool.value.max_unavailable),
         std::to_string(pool.value.max_unavailable_per_zone),
         std::to_string(pool.value.max_unavailable_per_rack),
         report.is_null() ? "-" : std::to_string(vms.size()),
         CellOf(Member(report, "slots")), CellOf(Member(report, "free")),
         CellOf(Member(report, "running")), CellOf(Member(report, "waiting")),
         CellOf(Member(report, "scheduler"))});
  }
  return Table(std::move(rows));
}

std::string RenderZones(const config::State& state, const Reports& reports) {
  struct Counts {
    int instances = 0;
    int vms = 0;
    double running = 0;
  };
  std::map<std::string, Counts> zones;
  for (const auto& [id, zone] : state.zones) {
    zones[id.str()];
  }
  if (!reports.empty()) {
    for (const json& instance : Member(reports.front(), "instances")) {
      ++zones[TextOf(Member(instance, "zone"))].instances;
    }
  }
  for (const auto& [name, view] : PoolViews(reports)) {
    for (const json& vm : Member(view.report, "vms")) {
      Counts& counts = zones[TextOf(Member(vm, "zone"))];
      ++counts.vms;
      counts.running += NumberOf(Member(vm, "running"));
    }
  }
  std::vector<Row> rows{
      {"ZONE", "IN_SERVICE", "CONFIGURED", "INSTANCES", "VMS", "RUNNING"}};
  for (const auto& [name, counts] : zones) {
    const ZoneId id(name);
    rows.push_back({Printable(name), YesNo(state.InService(id)),
                    YesNo(state.zones.contains(id)),
                    std::to_string(counts.instances),
                    std::to_string(counts.vms), Whole(counts.running)});
  }
  return Table(std::move(rows));
}

std::string RenderInstances(const Reports& reports) {
  std::vector<Row> rows{{"INSTANCE", "STATE", "REVISION", "DRAINING", "VM",
                         "ZONE", "INCARNATION"}};
  if (!reports.empty()) {
    for (const json& row : Member(reports.front(), "instances")) {
      rows.push_back(
          {CellOf(Member(row, "instance")), CellOf(Member(row, "state")),
           CellOf(Member(row, "revision")), CellOf(Member(row, "draining")),
           CellOf(Member(row, "vm")), CellOf(Member(row, "zone")),
           CellOf(Member(row, "incarnation"))});
    }
  }
  return Table(std::move(rows));
}

std::string RenderStatus(const Reports& reports) {
  std::vector<Row> entries{
      {"ENTRY", "REVISION", "FRESH", "READY", "CALLERS", "RUNNING"}};
  std::vector<Row> limits{
      {"LIMIT", "NAME", "ENTRY", "BUSY", "SPARE", "BLOCKED", "EXCESS"}};
  for (const json& report : reports) {
    const std::string instance = CellOf(Member(report, "instance"));
    entries.push_back({instance, CellOf(Member(report, "revision")),
                       CellOf(Member(report, "fresh")),
                       CellOf(Member(report, "ready")),
                       CellOf(Member(report, "waiting_callers")),
                       CellOf(Member(report, "running_tasks"))});
    for (const json& limit : Member(report, "limits")) {
      // Idle limits say nothing and there are hundreds of them.
      if (NumberOf(Member(limit, "busy")) > 0 ||
          NumberOf(Member(limit, "excess")) > 0 ||
          Member(limit, "blocked") == json(true)) {
        limits.push_back(
            {CellOf(Member(limit, "kind")), CellOf(Member(limit, "name")),
             instance, CellOf(Member(limit, "busy")),
             CellOf(Member(limit, "spare")), CellOf(Member(limit, "blocked")),
             CellOf(Member(limit, "excess"))});
      }
    }
  }
  std::string text = Table(std::move(entries)) + "\n" +
                     RenderInstances(reports) + "\n" + RenderPoolTable(reports);
  if (limits.size() > 1) {
    text += "\n" + Table(std::move(limits));
  }
  return text;
}

std::string RenderConfig(const config::State& state) {
  std::vector<Row> teams{{"TEAM", "WEIGHT", "LIMIT", "REVISION"}};
  for (const auto& [id, team] : state.teams) {
    teams.push_back({id.str(), std::to_string(team.value.weight),
                     std::to_string(team.value.limit),
                     std::to_string(team.revision)});
  }
  std::vector<Row> pools{
      {"POOL", "SPARE", "MAX_OUT", "PER_ZONE", "PER_RACK", "REVISION"}};
  for (const auto& [id, pool] : state.pools) {
    pools.push_back({id.str(), YesNo(pool.value.spare),
                     std::to_string(pool.value.max_unavailable),
                     std::to_string(pool.value.max_unavailable_per_zone),
                     std::to_string(pool.value.max_unavailable_per_rack),
                     std::to_string(pool.revision)});
  }
  std::vector<Row> zones{{"ZONE", "IN_SERVICE", "REVISION"}};
  for (const auto& [id, zone] : state.zones) {
    zones.push_back({id.str(), YesNo(zone.value.in_service),
                     std::to_string(zone.revision)});
  }
  std::vector<Row> retired{{"RETIRED", "INCARNATION", "REVISION"}};
  for (const auto& [id, retirement] : state.retirements) {
    retired.push_back({id.str(), std::to_string(retirement.value.incarnation),
                       std::to_string(retirement.revision)});
  }
  return "revision " + std::to_string(state.revision) + "\n\n" +
         Table(std::move(teams)) + "\n" + RenderProfiles(state) + "\n" +
         Table(std::move(pools)) + "\n" + Table(std::move(zones)) + "\n" +
         RenderKeys(state) + "\n" + Table(std::move(retired));
}

Result<std::string> RenderProfile(const config::State& state,
                                  const ProfileId& id) {
  const auto found = state.profiles.find(id);
  if (found == state.profiles.end()) {
    return Fail(ErrorKind::kNotFound, "profile " + id.str() + " does not exist",
                "see kchctl profile list");
  }
  json object =
      json::parse(config::Encode(config::Object(found->second.value)));
  object["revision"] = found->second.revision;
  return Fields(object, "");
}

Result<std::string> RenderExplain(const std::string& id,
                                  const std::vector<json>& answers) {
  const json* request = nullptr;
  const json* vm = nullptr;
  std::vector<Row> views{{"ENTRY", "RUNNING", "FREE", "USABLE", "HEALTH"}};
  for (const json& answer : answers) {
    const json& work = Member(answer, "request");
    // Only the scheduler that holds the work knows that it has not ended.
    if (work.is_object() && (request == nullptr ||
                             TextOf(Member(*request, "state")) == "finished")) {
      request = &work;
    }
    const json& row = Member(answer, "vm");
    if (row.is_object()) {
      vm = vm == nullptr ? &row : vm;
      views.push_back(
          {CellOf(Member(answer, "entry")), CellOf(Member(row, "running")),
           CellOf(Member(row, "free")), CellOf(Member(row, "usable")),
           CellOf(Member(row, "health"))});
    }
  }
  std::string text;
  if (request != nullptr) {
    text += Fields(*request, "");
  }
  if (vm != nullptr) {
    json fields = *vm;
    for (const char* seen : {"running", "free", "usable", "health"}) {
      fields.erase(seen);
    }
    text += Fields(fields, "") + "\n" + Table(std::move(views));
  }
  if (text.empty()) {
    return Fail(ErrorKind::kNotFound,
                "no entry that was asked knows " + Printable(id),
                "name a request as team/id, a job or a VM; outcomes are kept "
                "for 2 minutes");
  }
  return text;
}

std::string RenderJson(const json& value) {
  return JsonText(value, "");
}

Reports DistinctReports(std::vector<json> answers) {
  // Two addresses may lead to one entry, whose work must count once.
  Reports reports;
  std::set<std::string> seen;
  for (json& answer : answers) {
    if (seen.insert(TextOf(Member(answer, "instance"))).second) {
      reports.push_back(std::move(answer));
    }
  }
  return reports;
}

Result<PoolId> PoolOfVm(const VmId& vm, const std::vector<json>& answers) {
  std::set<std::string> pools;
  for (const json& answer : answers) {
    pools.insert(TextOf(Member(Member(answer, "vm"), "pool")));
  }
  pools.erase("");
  if (pools.empty()) {
    return Fail(ErrorKind::kNotFound, "no entry lists VM " + vm.str(),
                "correct VM; kchctl pool list shows the pools");
  }
  // Entries disagree for a moment while a VM moves.
  if (pools.size() > 1) {
    return Fail(ErrorKind::kConflict,
                "entries list VM " + vm.str() + " in pools " + *pools.begin() +
                    " and " + *pools.rbegin(),
                "repeat the command once the move is complete");
  }
  return PoolId(*pools.begin());
}

std::vector<std::string> MissingReports(const Reports& reports) {
  std::vector<std::string> lines;
  for (const auto& [name, view] : PoolViews(reports)) {
    if (!view.from_scheduler) {
      const std::string scheduler = TextOf(Member(view.report, "scheduler"));
      lines.push_back(
          "pool " + Printable(name) +
          (scheduler.empty()
               ? " has no scheduler"
               : " is scheduled by " + Printable(scheduler) +
                     ", which gave no report; its queue is not counted"));
    }
  }
  return lines;
}

std::optional<Force> ForceOf(const json& answer) {
  if (!Member(answer, "revision").is_number_unsigned() ||
      Member(answer, "accepted") != json(true)) {
    return std::nullopt;
  }
  Force force;
  force.revision = answer["revision"].get<std::uint64_t>();
  for (const json& name : Member(answer, "in_force")) {
    force.in_force.push_back(TextOf(name));
  }
  for (const json& name : Member(answer, "pending")) {
    force.pending.push_back(TextOf(name));
  }
  return force;
}

Force ForceIn(const json& report, std::uint64_t revision) {
  Force force{.revision = revision};
  for (const json& row : Member(report, "instances")) {
    const std::string name = TextOf(Member(row, "instance"));
    // An instance that is down counts as pending: being cut off from this
    // entry does not prove that it has stopped.
    if (NumberOf(Member(row, "revision")) >= static_cast<double>(revision)) {
      force.in_force.push_back(name);
    } else {
      force.pending.push_back(name);
    }
  }
  return force;
}

std::string RenderForce(const Force& force) {
  return "accepted as revision " + std::to_string(force.revision) +
         "\nin force  " + Names(force.in_force) + "\npending   " +
         Names(force.pending) + "\n";
}

std::string RenderRefusal(int code, std::string_view body) {
  const json answer = json::parse(body, nullptr, false);
  const std::string message = TextOf(Member(answer, "message"));
  if (message.empty()) {
    return "refused: status " + std::to_string(code) + "\n";
  }
  std::string text = "refused (" + CellOf(Member(answer, "error")) +
                     "): " + Printable(message);
  const std::string remedy = TextOf(Member(answer, "remedy"));
  if (!remedy.empty()) {
    text += "; " + Printable(remedy);
  }
  text += "\n";
  if (answer.contains("current")) {
    const json& current = answer["current"];
    if (current.is_object()) {
      text += "value at revision " + CellOf(Member(answer, "revision")) +
              ":\n" + Fields(current, "  ");
    } else {
      text += "there is no such object now\n";
    }
  }
  return text;
}

}  // namespace kch::ctl

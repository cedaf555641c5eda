#include "once/bucket.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace kch::once {
namespace {

constexpr std::string_view kPrefix = "claim/";

tl::unexpected<Error> Corrupt(const std::string& what) {
  return Fail(ErrorKind::kCorrupt, "claim record: " + what,
              "delete the record once no request of the last 10 minutes may "
              "be sent again");
}

nlohmann::json ToJson(const ClaimEntry& claim) {
  return nlohmann::json::array(
      {claim.request.str(), claim.token, claim.claimed_at_s});
}

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

const ClaimEntry* Bucket::Find(const RequestId& request) const {
  const auto found = std::find_if(
      this->claims.begin(), this->claims.end(),
      [&](const ClaimEntry& claim) { return claim.request == request; });
  return found == this->claims.end() ? nullptr : &*found;
}

std::uint32_t BucketOf(const RequestId& request) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(request.str().data(), request.str().size()) % kBucketCount);
}

std::string KeyOf(std::uint32_t bucket) {
  return std::string(kPrefix) + std::to_string(bucket);
}

std::optional<std::uint32_t> BucketOfKey(std::string_view key) {
  if (!key.starts_with(kPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kPrefix.size());
  std::uint32_t bucket = 0;
  const auto* const end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data(), end, bucket);
  if (parsed.ec != std::errc() || parsed.ptr != end || bucket >= kBucketCount) {
    return std::nullopt;
  }
  return bucket;
}

std::string Encode(const Bucket& bucket) {
  auto claims = nlohmann::json::array();
  for (const ClaimEntry& claim : bucket.claims) {
    claims.push_back(ToJson(claim));
  }
  return Dump({{"claims", std::move(claims)}});
}

std::size_t EncodedSize(const ClaimEntry& claim) {
  return Dump(ToJson(claim)).size() + 1;  // and a comma
}

template <>
Result<Bucket> Decode<Bucket>(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Corrupt("not a JSON object");
  }
  const auto claims = json.find("claims");
  if (claims == json.end() || !claims->is_array()) {
    return Corrupt("claims is missing or not an array");
  }
  Bucket bucket;
  bucket.claims.reserve(claims->size());
  for (const auto& item : *claims) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_string() ||
        !item[1].is_string() || !item[2].is_number_integer()) {
      return Corrupt("a claim is not [request, token, seconds]");
    }
    bucket.claims.push_back({RequestId(item[0].get<std::string>()),
                             item[1].get<std::string>(),
                             item[2].get<std::int64_t>()});
  }
  return bucket;
}

}  // namespace kch::once

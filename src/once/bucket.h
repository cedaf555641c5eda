#ifndef ONCE_BUCKET_H_
#define ONCE_BUCKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/id.h"

namespace kch::once {

/*! @brief Number of claim records. */
inline constexpr std::uint32_t kBucketCount = 64;

/*! @brief One claimed request id. */
struct ClaimEntry {
  RequestId request;
  std::string token;
  std::int64_t claimed_at_s = 0;  // claimer's wall clock

  bool operator==(const ClaimEntry&) const = default;
};

/*! @brief Claims of all request ids in the same bucket. */
struct Bucket {
  std::vector<ClaimEntry> claims;

  /*! @brief The claim of a request id, or null. */
  [[nodiscard]] const ClaimEntry* Find(const RequestId& request) const;

  bool operator==(const Bucket&) const = default;
};

/*! @brief The bucket of a request id. */
[[nodiscard]] std::uint32_t BucketOf(const RequestId& request);

/*! @brief The store key of a bucket: `claim/<bucket>`. */
[[nodiscard]] std::string KeyOf(std::uint32_t bucket);

/*! @brief The bucket of a store key, if it is a claim record's key. */
[[nodiscard]] std::optional<std::uint32_t> BucketOfKey(std::string_view key);

/*! @brief The record as JSON. */
[[nodiscard]] std::string Encode(const Bucket& bucket);

/*! @brief Bytes that one claim adds to an encoded record. */
[[nodiscard]] std::size_t EncodedSize(const ClaimEntry& claim);

/*! @brief Reads a record from JSON; specialised for Bucket. */
template <typename T>
[[nodiscard]] Result<T> Decode(std::string_view text);
template <>
[[nodiscard]] Result<Bucket> Decode<Bucket>(std::string_view text);

}  // namespace kch::once

#endif  // ONCE_BUCKET_H_

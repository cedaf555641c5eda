#include "config/authorize.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

#include "config/limits.h"

namespace kch::config {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

KeyId KeyIdOf(std::string_view secret) {
  const auto end = secret.find(kSecretSeparator);
  return end == std::string_view::npos ? KeyId()
                                       : KeyId(std::string(secret, 0, end));
}

std::string HashSecret(std::string_view secret) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
         digest.data());
  std::string hex;
  hex.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    hex += kHexDigits[byte >> 4U];
    hex += kHexDigits[byte & 15U];
  }
  return hex;
}

Result<TeamId> Authorize(const State& state,
                         std::string_view secret,
                         const ProfileId& profile) {
  const Profile* found = state.Find(profile);
  if (found == nullptr) {
    return Fail(ErrorKind::kNotFound,
                "profile " + profile.str() + " does not exist",
                "select a configured profile");
  }
  if (found->open) {
    return OpenTeam();
  }
  if (secret.empty()) {
    return Fail(ErrorKind::kForbidden,
                "profile " + profile.str() + " requires a key",
                "send the team's key, or select an open profile");
  }
  // An unknown key, a withdrawn key and a wrong secret give the same message,
  // which contains no part of the caller's input.
  const auto forbidden =
      Fail(ErrorKind::kForbidden, "the key is not valid",
           "ask an operator for a key of your team; this one may be withdrawn");
  if (secret.size() > kMaxSecretLength) {
    return forbidden;
  }
  const Key* key = state.Find(KeyIdOf(secret));
  const std::string hash = HashSecret(secret);
  // An unknown key id is compared with a placeholder, so that the response time
  // does not reveal which ids exist.
  const std::string placeholder(hash.size(), '-');
  const std::string& expected =
      key == nullptr ? placeholder : key->secret_sha256;
  if (expected.size() != hash.size() ||
      CRYPTO_memcmp(expected.data(), hash.data(), hash.size()) != 0) {
    return forbidden;
  }
  return key->team;
}

bool MatchesHash(std::string_view secret, std::string_view sha256) {
  const std::string hash = HashSecret(secret);
  if (sha256.size() != hash.size()) {
    return false;
  }
  // Constant time: independent of the position of the first difference.
  unsigned difference = 0;
  for (std::size_t i = 0; i < hash.size(); ++i) {
    difference |= static_cast<unsigned char>(hash[i]) ^
                  static_cast<unsigned char>(sha256[i]);
  }
  return difference == 0;
}

}  // namespace kch::config

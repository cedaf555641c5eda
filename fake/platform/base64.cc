#include "fake/platform/base64.h"

#include <openssl/evp.h>

namespace kch::fake {

std::string ToBase64(std::string_view text) {
  std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string out(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts padding as zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  out.resize(static_cast<std::size_t>(size) - padding);
  return out;
}

}  // namespace kch::fake

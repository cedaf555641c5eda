#include "base/error.h"

namespace kch {

std::string Error::Text() const {
  std::string text(NameOf(this->kind));
  text += ": " + this->message;
  if (!this->remedy.empty()) {
    text += " (" + this->remedy + ")";
  }
  return text;
}

tl::unexpected<Error> Fail(ErrorKind kind,
                           std::string message,
                           std::string remedy) {
  return tl::make_unexpected(
      Error{kind, std::move(message), std::move(remedy)});
}

}  // namespace kch

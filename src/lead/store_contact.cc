#include "lead/store_contact.h"

namespace kch::lead {

void StoreContact::OnReachable(bool reachable, Time now) {
  if (reachable && this->away) {
    this->regained = now;
  }
  this->away = !reachable;
}

// The watch may wait for its turn to be repeated while other calls are answered
// already, that of the claim among them.
Time StoreContact::RegistrationsBackBy(Time claimed) const {
  if (this->away) {
    return claimed + kRegistrationReturn;
  }
  return this->regained == Time() ? Time()
                                  : this->regained + kRegistrationReturn;
}

}  // namespace kch::lead

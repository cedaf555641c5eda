#ifndef MEMBER_MEMBER_H_
#define MEMBER_MEMBER_H_

#include "member/membership.h"
#include "member/record.h"

#endif  // MEMBER_MEMBER_H_

#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A key stops working now, also while the log is out. Receivers refuse the
/// key until the log gives it anew.
struct key_withdrawal
{
  digest mKey;
  /// The state of the log on which the operator withdrew the key; a record
  /// beyond this offset that gives the key again ends the withdrawal.
  log_offset mOffset;

  bool operator==(key_withdrawal const&) const = default;
};

}

#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Withdraws a key at once, even during an outage of the log. Receivers refuse
/// the key until a record of the log adds it again.
struct key_withdrawal
{
  digest mKey;
  /// The offset that the log's state had reached when the operator withdrew the
  /// key; a record beyond it that adds the key again ends the withdrawal.
  log_offset mOffset;

  bool operator==(key_withdrawal const&) const = default;
};

}

#pragma once

#include <LibPlatform/LogCallbacks.h>
#include <LibPlatform/ReadRequest.h>
#include <LibRecords/LogRecord.h>

namespace lycheeseam {

/// The platform's append-only log. Calls return at once; each callback runs
/// later, once, on the thread that made the call.
template<typename Log>
concept log_service = requires(Log& aLog,
                               log_record const& aRecord,
                               read_request const& aRequest,
                               append_callback aAppended,
                               read_callback aRead,
                               range_callback aRange)
{
  aLog.Append(aRecord, aAppended);
  aLog.Read(aRequest, aRead);
  aLog.Offsets(aRange);
};

}

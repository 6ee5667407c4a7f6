#pragma once

#include <LibPlatform/CallbackPoster.h>
#include <LibPlatform/LogService.h>
#include <LibPlatform/PlatformCalls.h>
#include <LibPlatform/PlatformOptions.h>
#include <LibPlatform/TransferLoop.h>

#include <functional>
#include <optional>
#include <utility>

namespace lycheeseam {

/// Takes the platform's list, or nothing when it is unavailable, once.
using list_callback = std::function<void(std::optional<instance_list> const&)>;

/// Takes whether the platform took a call, once.
using done_callback = std::function<void(bool)>;

/// The platform over HTTP: a log_service and the list of instances. Answers
/// are read on the transfers' thread and arrive typed through the poster.
template<callback_poster Poster>
class platform_client
{
public:
  platform_client(platform_options aOptions, Poster aPoster)
    : mOptions(std::move(aOptions))
    , mPoster(std::move(aPoster))
  {
  }

  /// Appends a record to the log.
  void Append(log_record const& aRecord, append_callback aDone)
  {
    Start(AppendCall(mOptions, aRecord), &ReadAppendReply, std::move(aDone));
  }

  /// Reads records from an offset on, waiting for one if there is none.
  void Read(read_request const& aRequest, read_callback aDone)
  {
    Start(ReadCall(mOptions, aRequest), &ReadReadReply, std::move(aDone));
  }

  /// Asks for the log's earliest and tail offsets.
  void Offsets(range_callback aDone)
  {
    Start(OffsetsCall(mOptions), &ReadOffsetsReply, std::move(aDone));
  }

  /// Asks for the list of live and leaving instances.
  void ListInstances(list_callback aDone)
  {
    Start(ListCall(mOptions), &ReadListReply, std::move(aDone));
  }

  /// Puts an instance on the list, or changes its line.
  void RegisterInstance(listed_instance const& aInstance, done_callback aDone)
  {
    Start(RegisterCall(mOptions, aInstance), &IsSuccess, std::move(aDone));
  }

  /// Takes an instance off the list.
  void RemoveInstance(instance_id const& aInstance, done_callback aDone)
  {
    Start(RemoveCall(mOptions, aInstance), &IsSuccess, std::move(aDone));
  }

private:
  template<typename Result, typename Callback>
  void Start(http_call const& aCall,
             Result (*aRead)(http_reply const&),
             Callback aDone)
  {
    auto const finish = [poster = mPoster, aRead, done = std::move(aDone)](
                          http_reply const& aReply) {
      poster([done, result = aRead(aReply)]() { done(result); });
    };
    mTransfers.Start(aCall, finish);
  }

  platform_options mOptions;
  Poster mPoster;
  transfer_loop mTransfers;
};

}

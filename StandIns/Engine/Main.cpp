#include <StandIns/Engine/EngineApi.h>
#include <StandIns/Http/RunStandIn.h>
#include <gflags/gflags.h>

#include <cstdlib>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 9001, "TCP port to listen on");
DEFINE_string(id, "engine-1", "this engine's id");
DEFINE_string(model,
              "",
              "model loaded at the start; if empty, answers for any");
DEFINE_string(weights_version,
              "v1",
              "version of the weights loaded at the start");
DEFINE_double(tokens_per_second,
              50,
              "tokens per second of a stream that runs alone");
DEFINE_double(slowdown_per_stream,
              0.02,
              "fraction of a step's time that each further stream adds");
DEFINE_double(prefill_tokens_per_second,
              20000,
              "uncached prompt tokens computed per second");
DEFINE_uint32(max_batch, 64, "the most streams that decode together");
DEFINE_uint32(cache_blocks, 4096, "capacity of the prefix cache in blocks");
DEFINE_uint32(default_max_tokens,
              64,
              "answer length in tokens if a request has no max_tokens");
DEFINE_uint32(weight_load_ms,
              400,
              "how long loading new weights takes, in milliseconds");
DEFINE_bool(check_fencing,
            true,
            "refuse orders with an outdated fencing number");

namespace lycheeseam::standin {
namespace {

engine_options
OptionsFromFlags()
{
  return engine_options{
    .mId = backend_server_id{ FLAGS_id },
    .mSpeed = { .mTokensPerSecond = FLAGS_tokens_per_second,
                .mSlowdownPerStream = FLAGS_slowdown_per_stream,
                .mPrefillTokensPerSecond = FLAGS_prefill_tokens_per_second,
                .mMaxBatch = FLAGS_max_batch,
                .mCacheBlocks = FLAGS_cache_blocks },
    .mModel = model_name{ FLAGS_model },
    .mVersion = weights_version{ FLAGS_weights_version },
    .mChecksFencing = FLAGS_check_fencing,
    .mWeightLoadTime = std::chrono::milliseconds{ FLAGS_weight_load_ms },
    .mDefaultMaxTokens = FLAGS_default_max_tokens,
  };
}

void
Run()
{
  boost::asio::io_context context{ 1 };
  engine_api api{ context, OptionsFromFlags() };
  endpoint const address{ .mAddress = FLAGS_address,
                          .mPort = static_cast<std::uint16_t>(FLAGS_port) };
  RunStandIn(context, api, address);
}

}
}

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("A stand-in for a model engine.");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  lycheeseam::standin::Run();
  return EXIT_SUCCESS;
}

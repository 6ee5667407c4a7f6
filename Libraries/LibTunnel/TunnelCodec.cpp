#include <LibPeer/FrameHeader.h>
#include <LibTunnel/TunnelCodec.h>

#include <Tunnel_generated.h>

#include <array>
#include <cstring>

namespace lycheeseam {

namespace {

std::vector<std::uint8_t>
MakeFrame(flatbuffers::FlatBufferBuilder const& aBuilder)
{
  std::uint32_t const length = aBuilder.GetSize();
  std::array<std::uint8_t, kFrameHeaderBytes> const header =
    EncodeFrameHeader(length);
  std::vector<std::uint8_t> frame{ header.begin(), header.end() };
  frame.insert(frame.end(),
               aBuilder.GetBufferPointer(),
               aBuilder.GetBufferPointer() + length);
  return frame;
}

tunnel_framing
FramingOf(bool aIsFramed)
{
  return aIsFramed ? tunnel_framing::Frames : tunnel_framing::None;
}

// A FlatBuffer that holds a table. It is read in place, which needs its bytes
// to be aligned.
template<typename Table>
class aligned_table
{
public:
  explicit aligned_table(std::span<std::uint8_t const> aContent)
    : mSize(aContent.size())
    , mWords(aContent.size() / sizeof(std::uint64_t) + 1)
  {
    std::memcpy(mWords.data(), aContent.data(), aContent.size());
  }

  // Null when the content is malformed.
  [[nodiscard]] Table const* Get() const
  {
    std::uint8_t const* const bytes =
      reinterpret_cast<std::uint8_t const*>(mWords.data());
    flatbuffers::Verifier verifier{ bytes, mSize };
    return verifier.VerifyBuffer<Table>(nullptr)
             ? flatbuffers::GetRoot<Table>(bytes)
             : nullptr;
  }

private:
  std::size_t mSize;
  std::vector<std::uint64_t> mWords;
};

}

std::vector<std::uint8_t>
EncodeTunnelRequest(tunnel_request const& aRequest)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateTunnelRequest(
    builder,
    builder.CreateString(aRequest.mServer.mServer.Text()),
    aRequest.mServer.mIncarnation.Value(),
    aRequest.mFraming == tunnel_framing::Frames));
  return MakeFrame(builder);
}

std::optional<tunnel_request>
DecodeTunnelRequest(std::span<std::uint8_t const> aContent)
{
  aligned_table<wire::TunnelRequest> const table{ aContent };
  wire::TunnelRequest const* const request = table.Get();
  if (request == nullptr)
    return std::nullopt;
  return tunnel_request{
    .mServer = { .mServer = backend_server_id{ request->server()->str() },
                 .mIncarnation = incarnation{ request->incarnation() } },
    .mFraming = FramingOf(request->framed())
  };
}

std::vector<std::uint8_t>
EncodeTunnelAnswer(tunnel_answer const& aAnswer)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(
    wire::CreateTunnelAnswer(builder,
                             static_cast<wire::TunnelResult>(aAnswer.mResult),
                             aAnswer.mFraming == tunnel_framing::Frames));
  return MakeFrame(builder);
}

std::optional<tunnel_answer>
DecodeTunnelAnswer(std::span<std::uint8_t const> aContent)
{
  aligned_table<wire::TunnelAnswer> const table{ aContent };
  wire::TunnelAnswer const* const answer = table.Get();
  if (answer == nullptr || answer->result() > wire::TunnelResult::MAX)
    return std::nullopt;
  return tunnel_answer{ .mResult = static_cast<tunnel_result>(answer->result()),
                        .mFraming = FramingOf(answer->framed()) };
}

}

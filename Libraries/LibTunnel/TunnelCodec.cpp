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
EncodeTunnelRequest(server_identity const& aServer)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(
    wire::CreateTunnelRequest(builder,
                              builder.CreateString(aServer.mServer.Text()),
                              aServer.mIncarnation.Value()));
  return MakeFrame(builder);
}

std::optional<server_identity>
DecodeTunnelRequest(std::span<std::uint8_t const> aContent)
{
  aligned_table<wire::TunnelRequest> const table{ aContent };
  wire::TunnelRequest const* const request = table.Get();
  if (request == nullptr)
    return std::nullopt;
  return server_identity{ .mServer =
                            backend_server_id{ request->server()->str() },
                          .mIncarnation =
                            incarnation{ request->incarnation() } };
}

std::vector<std::uint8_t>
EncodeTunnelAnswer(tunnel_result aResult)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateTunnelAnswer(
    builder, static_cast<wire::TunnelResult>(aResult)));
  return MakeFrame(builder);
}

std::optional<tunnel_result>
DecodeTunnelAnswer(std::span<std::uint8_t const> aContent)
{
  aligned_table<wire::TunnelAnswer> const table{ aContent };
  wire::TunnelAnswer const* const answer = table.Get();
  if (answer == nullptr || answer->result() > wire::TunnelResult::MAX)
    return std::nullopt;
  return static_cast<tunnel_result>(answer->result());
}

}

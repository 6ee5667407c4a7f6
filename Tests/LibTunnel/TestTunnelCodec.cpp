#include <LibPeer/FrameHeader.h>
#include <LibTunnel/TunnelCodec.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

std::span<std::uint8_t const>
Content(std::vector<std::uint8_t> const& aFrame)
{
  return std::span{ aFrame }.subspan(kFrameHeaderBytes);
}

TEST(TestTunnelCodec, RequestsAreReadAsTheyWereWritten)
{
  server_identity const server{ .mServer = backend_server_id{ "engine-1" },
                                .mIncarnation = incarnation{ 7 } };
  std::vector<std::uint8_t> const frame = EncodeTunnelRequest(server);
  EXPECT_EQ(DecodeTunnelRequest(Content(frame)), server);
  EXPECT_LE(frame.size(), kMaxTunnelMessageBytes);
}

TEST(TestTunnelCodec, AnswersAreReadAsTheyWereWritten)
{
  for (tunnel_result const result : { tunnel_result::Open,
                                      tunnel_result::Unreachable,
                                      tunnel_result::Unavailable,
                                      tunnel_result::Refused })
    EXPECT_EQ(DecodeTunnelAnswer(Content(EncodeTunnelAnswer(result))), result);
}

TEST(TestTunnelCodec, MalformedMessagesAreRefused)
{
  server_identity const server{ .mServer = backend_server_id{ "engine-1" },
                                .mIncarnation = incarnation{ 7 } };
  std::vector<std::uint8_t> const frame = EncodeTunnelRequest(server);
  // The last bytes may be padding, without which the message is complete.
  constexpr std::size_t kMaxPaddingBytes = 7;
  std::size_t const bytes = frame.size() - kFrameHeaderBytes;
  for (std::size_t size = 0; size < bytes; ++size) {
    std::optional<server_identity> const decoded =
      DecodeTunnelRequest(Content(frame).first(size));
    EXPECT_TRUE(!decoded || *decoded == server) << size;
    EXPECT_TRUE(!decoded || bytes - size <= kMaxPaddingBytes) << size;
  }
  std::vector<std::uint8_t> const noise(40, 0xff);
  EXPECT_FALSE(DecodeTunnelRequest(noise));
  EXPECT_FALSE(DecodeTunnelAnswer(noise));
}

}

}

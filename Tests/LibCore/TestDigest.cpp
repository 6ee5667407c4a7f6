#include <LibCore/Digest.h>
#include <LibCore/InvalidInput.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestDigest, HexRoundTripKeepsTheDigest)
{
  digest const original = digest::Of("abc");
  EXPECT_EQ(original.Hex(),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_EQ(digest::FromHex(original.Hex()), original);
}

TEST(TestDigest, FromHexRefusesWrongLengthsAndDigits)
{
  EXPECT_THROW(digest::FromHex("ab"), invalid_input);
  EXPECT_THROW(digest::FromHex(std::string(64, 'G')), invalid_input);
}

}
}

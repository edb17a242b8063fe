#include "bergamotstage/fleet/TextDelta.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

using namespace bergamotstage;

namespace {

constexpr std::size_t MaxBytes = std::size_t{4} * 1024 * 1024;

/// @brief Lines that share their form and differ in their names.
std::string manyLines(unsigned Count) {
  std::mt19937_64 Random(1);
  std::string Text;
  for (unsigned Line = 0; Line < Count; ++Line)
    Text += "{\"name\":\"r-" + std::to_string(Random()) +
            "\",\"type\":\"read_your_writes\",\"timeout_ms\":800}\n";
  return Text;
}

} // namespace

TEST_GROUP(TextDelta){};

TEST(TextDelta, TextsRoundTrip) {
  for (const std::string &Base : {std::string(), manyLines(3000)})
    for (const std::string &Text :
         {std::string(), std::string("{}"), manyLines(5000)}) {
      auto Restored = decompressText(compressText(Text, Base), Base, MaxBytes);
      CHECK_TRUE(Restored.has_value());
      CHECK_TRUE(*Restored == Text);
    }
}

TEST(TextDelta, ASmallChangeOfALargeTextIsSmall) {
  std::string Base = manyLines(10000);
  std::string Text = Base;
  Text.insert(Text.size() / 2, "{\"name\":\"r-new\"}\n");
  CHECK_TRUE(compressText(Text, Base).size() < 1000);
}

TEST(TextDelta, AnotherBaseIsNoticed) {
  std::string Base = manyLines(3000);
  std::string Compressed = compressText(Base + "more", Base);
  std::string Other = Base;
  Other[Other.size() / 2] = '?';
  CHECK_FALSE(decompressText(Compressed, Other, MaxBytes).has_value());
  CHECK_FALSE(decompressText(Compressed, "", MaxBytes).has_value());
}

TEST(TextDelta, ATextAboveTheLimitIsRejected) {
  std::string Compressed = compressText(std::string(5000, 'x'), "");
  CHECK_TRUE(decompressText(Compressed, "", 5000).has_value());
  auto Rejected = decompressText(Compressed, "", 4999);
  CHECK_FALSE(Rejected.has_value());
  STRCMP_EQUAL("has 5000 bytes; the limit is 4999", Rejected.error().c_str());
}

TEST(TextDelta, MutatedBytesAreRejectedOrRestored) {
  std::mt19937_64 Random(2);
  std::string Text = manyLines(100);
  std::string Compressed = compressText(Text, "");
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Bytes = Compressed;
    char &Mutated = Bytes[Random() % Bytes.size()];
    Mutated = static_cast<char>(Mutated ^ (1 + Random() % 255));
    Bytes.resize(Bytes.size() - Random() % 3);
    auto Restored = decompressText(Bytes, "", MaxBytes);
    CHECK_TRUE(!Restored || *Restored == Text);
  }
}

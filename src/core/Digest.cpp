#include "bergamotstage/core/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace bergamotstage {
namespace {

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string sha256(std::string_view Bytes) {
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(asBytes(Bytes), Bytes.size(), Digest);
  return {reinterpret_cast<const char *>(Digest), sizeof Digest};
}

std::string hmacSha256(std::string_view Secret, std::string_view Bytes) {
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  unsigned int Length = sizeof Digest;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       asBytes(Bytes), Bytes.size(), Digest, &Length);
  return {reinterpret_cast<const char *>(Digest), Length};
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace bergamotstage

#include "test_certificates.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <random>
#include <utility>

namespace pearbarrow::net::testing {
namespace {

constexpr long validity_seconds = 3600;

void add_extension(X509* certificate, X509* issuer, int name, const std::string& value) {
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, name, value.c_str());
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

X509* make_certificate(EVP_PKEY* key, const std::string& name) {
    X509* certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate),
                     static_cast<long>(std::random_device()() & 0x7fffffff));
    X509_gmtime_adj(X509_getm_notBefore(certificate), -validity_seconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), validity_seconds);
    X509_set_pubkey(certificate, key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    return certificate;
}

template <typename Write>
void write_file(const std::string& path, Write write) {
    std::FILE* file = std::fopen(path.c_str(), "w");
    write(file);
    std::fclose(file);
}

}  // namespace

struct test_authority::key_pair {
    EVP_PKEY* key = nullptr;
    X509* certificate = nullptr;

    ~key_pair() {
        X509_free(certificate);
        EVP_PKEY_free(key);
    }
};

test_authority::test_authority(std::string name) : authority_(new key_pair) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "pearbarrow-tls-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    authority_->key = EVP_EC_gen("P-256");
    X509* certificate = make_certificate(authority_->key, name);
    authority_->certificate = certificate;
    X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
    add_extension(certificate, certificate, NID_basic_constraints, "critical,CA:TRUE");
    X509_sign(certificate, authority_->key, EVP_sha256());
    write_file(authority_file(), [&](std::FILE* file) { PEM_write_X509(file, certificate); });
}

test_authority::~test_authority() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
    delete authority_;
}

tls_files test_authority::issue(const std::string& name, const std::string& ip) const {
    key_pair pair;
    pair.key = EVP_EC_gen("P-256");
    pair.certificate = make_certificate(pair.key, name);
    X509_set_issuer_name(pair.certificate, X509_get_subject_name(authority_->certificate));
    add_extension(pair.certificate, authority_->certificate, NID_subject_alt_name, "IP:" + ip);
    X509_sign(pair.certificate, authority_->key, EVP_sha256());
    const tls_files files{.certificate_chain = folder_ + "/" + name + ".pem",
                          .private_key = folder_ + "/" + name + ".key",
                          .client_authorities = authority_file()};
    write_file(files.certificate_chain,
               [&](std::FILE* file) { PEM_write_X509(file, pair.certificate); });
    write_file(files.private_key, [&](std::FILE* file) {
        PEM_write_PrivateKey(file, pair.key, nullptr, nullptr, 0, nullptr, nullptr);
    });
    return files;
}

}  // namespace pearbarrow::net::testing

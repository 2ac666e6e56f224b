#include <openssl/bio.h>
#include <openssl/ssl.h>

#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include "http_fixture.h"
#include "peer_fixture.h"
#include "test_certificates.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

std::unique_ptr<http_server> serve_tls(event_loop& loop, const tls_files& files) {
    http_server_options options;
    options.tls = files;
    return serve(loop, echo, options);
}

std::unique_ptr<http_client> tls_client(event_loop& loop, const tls_files& files) {
    return make_http_client(loop, {.tls = files});
}

http_call post(const endpoint& server, std::string body) {
    return {.server = server, .method = "POST", .target = "/", .body = std::move(body)};
}

tls_files without_authorities(tls_files files) {
    files.client_authorities.clear();
    return files;
}

/// Sends the whole request in pieces, and only then reads the response. The client checks nothing.
std::string exchange_blocking(const endpoint& server, const std::string& request) {
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(
        SSL_CTX_new(TLS_client_method()), &SSL_CTX_free);
    const std::unique_ptr<BIO, decltype(&BIO_free_all)> client(BIO_new_ssl_connect(context.get()),
                                                               &BIO_free_all);
    BIO_set_conn_hostname(client.get(), to_string(server).c_str());
    std::size_t sent = 0;
    while (sent < request.size()) {
        const int written =
            BIO_write(client.get(), request.data() + sent, static_cast<int>(request.size() - sent));
        if (written <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(written);
    }
    std::string response;
    std::array<char, 4096> buffer{};
    for (;;) {
        const int size = BIO_read(client.get(), buffer.data(), static_cast<int>(buffer.size()));
        if (size <= 0) {
            return response;
        }
        response.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

tls_files trusting_only(const test_authority& authority) {
    return {.client_authorities = authority.authority_file()};
}

}  // namespace

Test(tls, http_bodies_of_any_size_are_transferred) {
    const test_authority authority("ours");
    event_loop loop;
    const auto server = serve_tls(loop, without_authorities(authority.issue("server")));
    const auto client = tls_client(loop, trusting_only(authority));
    for (const std::size_t size : {1U, 100'000U, 3'000'000U}) {
        std::string body(size, 'x');
        body.back() = 'y';
        const auto response = fetch(loop, *client, post(server->local_endpoint(), body));
        cr_assert(response.ok(), "%s", response.status().ToString().c_str());
        cr_assert(response->body == body);
    }
}

Test(tls, refusal_of_a_body_that_is_still_being_sent_is_not_lost) {
    // The client writes to a connection that its peer may have reset.
    std::signal(SIGPIPE, SIG_IGN);
    const test_authority authority("ours");
    event_loop loop;
    http_server_options options;
    options.tls = without_authorities(authority.issue("server"));
    options.max_body_bytes = 1'000;
    const auto server = serve(loop, echo, options);
    const std::string body(3'000'000, 'x');
    const std::string request =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::atomic<bool> is_done = false;
    std::string response;
    std::thread client([&] {
        response = exchange_blocking(server->local_endpoint(), request);
        is_done = true;
    });
    cr_expect(run_until(loop, [&] { return is_done.load(); }));
    client.join();
    cr_assert(response.find("HTTP/1.1 413") == 0, "'%s'", response.c_str());
}

Test(tls, server_with_untrusted_or_mismatched_certificate_is_rejected) {
    const test_authority ours("ours");
    const test_authority others("others");
    for (const auto& files : {others.issue("server"), ours.issue("server", "10.9.9.9")}) {
        event_loop loop;
        const auto server = serve_tls(loop, without_authorities(files));
        const auto client = tls_client(loop, trusting_only(ours));
        const auto response = fetch(loop, *client, post(server->local_endpoint(), "secret"));
        const auto details = base::details_of(response.status());
        cr_assert(details.reason == "tls_handshake_failed", "%s",
                  response.status().ToString().c_str());
        cr_assert(details.was_executed == base::executed::no);
    }
}

Test(tls, client_without_trusted_certificate_is_rejected) {
    const test_authority ours("ours");
    const test_authority others("others");
    event_loop loop;
    const auto server = serve_tls(loop, ours.issue("server"));
    auto foreign = others.issue("client");
    foreign.client_authorities = ours.authority_file();
    for (const tls_files& files : {trusting_only(ours), foreign}) {
        const auto client = tls_client(loop, files);
        cr_assert(!fetch(loop, *client, post(server->local_endpoint(), "x")).ok());
    }
    const auto client = tls_client(loop, ours.issue("client"));
    const auto response = fetch(loop, *client, post(server->local_endpoint(), "x"));
    cr_assert(response.ok(), "%s", response.status().ToString().c_str());
    cr_assert(server->open_exchanges() == 0);
}

Test(tls, plain_or_idle_connection_on_tls_port_is_closed) {
    // The client writes to a connection that its peer may have reset.
    std::signal(SIGPIPE, SIG_IGN);
    const test_authority authority("ours");
    event_loop loop;
    http_server_options options;
    options.tls = without_authorities(authority.issue("server"));
    options.request_timeout = milliseconds(100);
    const auto server = serve(loop, echo, options);
    raw_client plain(server->local_endpoint());
    raw_client silent(server->local_endpoint());
    plain.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return plain.closed() && silent.closed(); }));
    cr_assert(!plain.has("200 OK"));
}

Test(tls, http_keys_are_reloaded_without_restart) {
    const test_authority before("before");
    const test_authority after("after");
    event_loop loop;
    const auto files = without_authorities(before.issue("server"));
    const auto server = serve_tls(loop, files);
    const auto old_client = tls_client(loop, trusting_only(before));
    const auto new_client = tls_client(loop, trusting_only(after));
    const auto call = post(server->local_endpoint(), "x");
    cr_assert(fetch(loop, *old_client, call).ok());
    cr_assert(!fetch(loop, *new_client, call).ok());

    const auto next = after.issue("server");
    const auto overwrite = std::filesystem::copy_options::overwrite_existing;
    std::filesystem::copy_file(next.certificate_chain, files.certificate_chain, overwrite);
    // A certificate that does not match the key makes the reload fail without any change.
    cr_assert(base::details_of(server->reload_tls()).reason == "tls_files_unusable");
    cr_assert(!fetch(loop, *new_client, call).ok());
    std::filesystem::copy_file(next.private_key, files.private_key, overwrite);
    cr_assert(server->reload_tls().ok());
    cr_assert(fetch(loop, *new_client, call).ok());
    // The open connection of the old client keeps the old keys; a new connection does not.
    cr_assert(fetch(loop, *old_client, call).ok());
    cr_assert(old_client->reload_tls().ok());
    cr_assert(!fetch(loop, *old_client, call).ok());
}

Test(tls, unusable_file_is_reported_by_name) {
    const test_authority authority("ours");
    event_loop loop;
    auto files = authority.issue("server");
    std::ofstream(files.private_key) << "not a key";
    http_server_options options;
    options.listen = loopback;
    options.tls = files;
    const auto server = make_http_server(loop, options, echo);
    const auto status = server->start();
    cr_assert(base::details_of(status).reason == "tls_files_unusable");
    cr_assert(base::details_of(status).peer == files.private_key);
    const auto client = tls_client(loop, {.client_authorities = "/does/not/exist"});
    const auto response = fetch(loop, *client, get(loopback));
    cr_assert(base::details_of(response.status()).reason == "tls_files_unusable");
}

Test(tls, peer_accepts_only_trusted_certificates) {
    const test_authority ours("ours");
    const test_authority others("others");
    auto client_options = options_of("client");
    auto server_options = options_of("server");
    client_options.tls = ours.issue("client");
    server_options.tls = ours.issue("server");
    peer_pair pair(client_options, server_options);
    call_result call(pair.loop);
    const std::string payload(1'000'000, 'x');
    call.start(*pair.client, "server", pair.address(), echo_method, payload);
    call.wait();
    cr_assert(call.ok(), "%s", call.text().c_str());
    cr_assert(call.result->value() == payload);

    auto foreign = options_of("foreign");
    foreign.tls = others.issue("foreign");
    const auto stranger = make_peer_rpc(pair.loop, foreign);
    const auto plain = make_peer_rpc(pair.loop, options_of("plain"));
    foreign.tls->client_authorities = ours.authority_file();
    const auto pretender = make_peer_rpc(pair.loop, foreign);
    for (peer_rpc* rpc : {stranger.get(), plain.get(), pretender.get()}) {
        call_result refused(pair.loop);
        refused.start(*rpc, "server", pair.address(), hold_method, "");
        refused.wait();
        cr_assert(!refused.ok());
        cr_assert(refused.details().was_executed == base::executed::no, "%s",
                  refused.text().c_str());
    }
    cr_assert(pair.held.empty());
}

Test(tls, peer_keys_are_reloaded_without_restart) {
    const test_authority before("before");
    const test_authority after("after");
    const auto overwrite = std::filesystem::copy_options::overwrite_existing;
    auto client_options = options_of("client");
    auto server_options = options_of("server");
    client_options.tls = before.issue("client");
    server_options.tls = before.issue("server");
    peer_pair pair(client_options, server_options);
    for (const std::string name : {"client", "server"}) {
        const auto next = after.issue(name);
        const auto& files = name == "client" ? *client_options.tls : *server_options.tls;
        std::filesystem::copy_file(next.certificate_chain, files.certificate_chain, overwrite);
        std::filesystem::copy_file(next.private_key, files.private_key, overwrite);
    }
    std::filesystem::copy_file(after.authority_file(), before.authority_file(), overwrite);
    cr_assert(pair.server->reload_tls().ok());
    call_result refused(pair.loop);
    refused.start(*pair.client, "server", pair.address(), echo_method, "x");
    refused.wait();
    cr_assert(!refused.ok());
    cr_assert(pair.client->reload_tls().ok());
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), echo_method, "x");
    call.wait();
    cr_assert(call.ok(), "%s", call.text().c_str());
}

Test(tls, peer_without_authorities_does_not_start) {
    const test_authority authority("ours");
    event_loop loop;
    auto options = options_of("node");
    options.tls = without_authorities(authority.issue("node"));
    const auto rpc = make_peer_rpc(loop, options);
    cr_assert(base::details_of(rpc->start()).reason == "tls_files_unusable");
}

"""Steps for the authentication between processes."""

from __future__ import annotations

import datetime
import ipaddress

from aiohttp import web
import behave
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
import msgspec

from verbenastream.connection import peers
from verbenastream.process import metrics
from verbenastream.process import settings
from verbenastream import wire

_PORT = 8000
_DEPLOYMENT = settings.Deployment('mexico', 'ab' * 32)


class _Ping(msgspec.Struct, frozen=True):
    number: int


async def _serve(context, tls_context=None):
    context.metrics = metrics.Metrics()
    app = web.Application()
    routes = peers.PeerRoutes(app, peers.Signer(_DEPLOYMENT), context.metrics)

    async def pong(sender, ping):
        return _Ping(ping.number + 1)

    routes.add('/v1/ping', _Ping, pong)
    context.address = context.world.address()
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    context.world.on_close(runner.cleanup)
    site = web.TCPSite(runner, context.address, _PORT, ssl_context=tls_context)
    await site.start()


_NESTED_LISTS = b'{"number":1,"other":%b%b}' % (
    b'[' * 100_000,
    b']' * 100_000,
)


async def _serve_nested(context):
    app = web.Application()

    async def answer(request):
        return web.Response(body=_NESTED_LISTS)

    app.router.add_post('/v1/ping', answer)
    context.address = context.world.address()
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    context.world.on_close(runner.cleanup)
    await web.TCPSite(runner, context.address, _PORT).start()


@behave.given('a peer listener that answers with 100000 nested lists')
def step_nested_listener(context):
    context.world.run(_serve_nested(context))


@behave.given('a peer listener')
def step_listener(context):
    context.world.run(_serve(context))


def _faulty_message(fault):
    """Return headers and body of a message with one fault."""
    deployment = _DEPLOYMENT
    if fault == 'another deployment':
        deployment = msgspec.structs.replace(deployment, name='ghana')
    if fault == 'another key':
        deployment = msgspec.structs.replace(deployment, key='cd' * 32)
    body = wire.encode(_Ping(1))
    if fault == '100000 nested lists':
        body = _NESTED_LISTS
    signed_path = '/v1/other' if fault == 'an altered path' else '/v1/ping'
    headers = peers.Signer(deployment).headers(
        'POST', signed_path, 'entry-1', body
    )
    match fault:
        case 'an altered body':
            body = wire.encode(_Ping(2))
        case 'an altered sender':
            headers['Verbenastream-Sender'] = 'entry-2'
        case 'a version too new':
            headers['Verbenastream-Protocol'] = '2'
        case 'a version too old':
            headers['Verbenastream-Protocol'] = '-1'
        case 'no signature':
            del headers['Verbenastream-Signature']
        case 'the previous version':
            headers['Verbenastream-Protocol'] = '0'
    return headers, body


async def _post(context, fault):
    headers, body = _faulty_message(fault)
    session = await context.world.session()
    url = f'http://{context.address}:{_PORT}/v1/ping'
    async with session.post(url, data=body, headers=headers) as answer:
        context.status = answer.status
        context.body = await answer.read()


@behave.when('a message with {fault} arrives')
def step_faulty(context, fault):
    context.world.run(_post(context, fault))


@behave.when('a message of the previous version arrives')
def step_previous(context):
    context.world.run(_post(context, 'the previous version'))


@behave.then('it is refused with status 403 and counted')
def step_refused(context):
    assert context.status == 403, (context.status, context.body)
    exposed = context.metrics.expose().decode()
    assert 'verbenastream_peer_rejected_total 1.0' in exposed, exposed


@behave.then('it is refused with status 400')
def step_undecodable(context):
    assert context.status == 400, (context.status, context.body)


def _call(context, peer=None):
    try:
        context.world.run(_ping(context, settings.TlsOff.OFF, peer))
    except Exception as error:
        context.error = error


@behave.when('the peer is called')
def step_call(context):
    _call(context)


@behave.when('a peer at {address} and port {port:d} is called')
def step_call_odd_address(context, address, port):
    addresses = {'64 x a': 'a' * 64, 'nothing': ''}
    _call(context, settings.Peer(addresses.get(address, address), port))


@behave.then('the call fails as never sent')
def step_never_sent(context):
    assert isinstance(context.error, peers.UnreachableError), repr(
        context.error
    )


@behave.then('the call fails with a typed error')
def step_call_failed(context):
    assert isinstance(context.error, peers.CallFailedError), repr(
        context.error
    )


@behave.then('it is answered')
def step_answered(context):
    assert context.status == 200, (context.status, context.body)
    assert wire.decode(context.body, _Ping) == _Ping(2)


class _Authority:
    """A certificate authority that issues certificates for a test."""

    def __init__(self, name):
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _x509_name(name)
        self._certificate = _issue_certificate(
            self._name, self._name, self._key, self._key, authority=True
        )

    def write(self, files, address):
        """Issue a certificate for ``address``; return its serial number."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _issue_certificate(
            _x509_name('peer'), self._name, key, self._key, address=address
        )
        pem = serialization.Encoding.PEM
        with open(files.key, 'wb') as file:
            file.write(
                key.private_bytes(
                    pem,
                    serialization.PrivateFormat.PKCS8,
                    serialization.NoEncryption(),
                )
            )
        with open(files.certificate, 'wb') as file:
            file.write(certificate.public_bytes(pem))
        with open(files.authority, 'wb') as file:
            file.write(self._certificate.public_bytes(pem))
        return certificate.serial_number


def _x509_name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _issue_certificate(
    subject, issuer, key, issuer_key, authority=False, address=None
):
    now = datetime.datetime.now(datetime.timezone.utc)
    day = datetime.timedelta(days=1)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - day)
        .not_valid_after(now + day)
        .add_extension(x509.BasicConstraints(authority, None), critical=True)
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(key.public_key()),
            critical=False,
        )
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(
                issuer_key.public_key()
            ),
            critical=False,
        )
    )
    if address is not None:
        names = [x509.IPAddress(ipaddress.ip_address(address))]
        builder = builder.add_extension(
            x509.SubjectAlternativeName(names), critical=False
        )
    return builder.sign(issuer_key, hashes.SHA256())


def _tls_files(context, prefix):
    folder = context.world.folder
    return settings.TlsFiles(
        certificate=str(folder / f'{prefix}.crt'),
        key=str(folder / f'{prefix}.key'),
        authority=str(folder / f'{prefix}-authority.crt'),
    )


@behave.given('a peer listener with TLS')
def step_tls_listener(context):
    context.authority = _Authority('authority')
    context.files = _tls_files(context, 'peer')
    context.first_serial = context.authority.write(context.files, '127.0.0.1')
    context.reloading = peers.ReloadingContext.for_server(context.files)
    context.world.run(_serve(context, context.reloading.ssl_context))


@behave.when('its certificate is replaced and new files are read')
def step_replace(context):
    context.second_serial = context.authority.write(
        context.files, context.address
    )
    assert context.reloading.reload()
    assert not context.reloading.reload()


async def _ping(context, files, peer=None):
    client = peers.PeerClient.from_config(_DEPLOYMENT, 'entry-1', files)
    context.world.on_close(client.close)
    peer = peer or settings.Peer(context.address, _PORT)
    return await client.call(peer, '/v1/ping', _Ping(1), _Ping, 5.0)


@behave.then('a new connection gets the new certificate')
def step_new_certificate(context):
    # The client verifies the address, which only the new certificate has.
    assert context.world.run(_ping(context, context.files)) == _Ping(2)


@behave.then('a client that trusts another authority is refused')
def step_other_authority(context):
    files = _tls_files(context, 'other')
    _Authority('other').write(files, context.address)
    try:
        context.world.run(_ping(context, files))
    except peers.UnreachableError:
        return
    raise AssertionError('a client accepted an unknown authority')


@behave.then('broken files leave the current certificate in use')
def step_broken(context):
    with open(context.files.certificate, 'w') as file:
        file.write('broken')
    try:
        context.reloading.reload()
    except peers.TlsFilesError as error:
        assert 'PEM' in str(error), error
    else:
        raise AssertionError('broken files were accepted')
    valid_files = _tls_files(context, 'client')
    context.authority.write(valid_files, context.address)
    assert context.world.run(_ping(context, valid_files)) == _Ping(2)

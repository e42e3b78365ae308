"""Wire forms of membership, as 127d781 writes them: each kind of datagram with each form of a row, the key
of a configuration, `GET /members`. Nothing of it is stored: incarnations go on from the clock.

A list service that is a member is driven as a process, by sockets that play two other members; no names of
classes or attributes are used, but for the gateway that `netkit` starts. In what is compared stand: @ME for
its name, @PORT for its port, @INC for its first incarnation (the clock's milliseconds), @NEXT for the next
one, @A and @B for the other members' ports, @SEQ for the number of a probe of its own, which starts by
chance, and @ROWS for one or more of the rows that are listed here: which news goes with a datagram is a
matter of time.
"""

import asyncio
import json
import re
import socket
import threading

from netkit import Node, on_loop
from service_process import REGISTRY, json_headers, running, until

CONFIG = """{"listen": "127.0.0.1:0", "learn_ms": 0,
 "membership": {"cluster": "c1", "listen": "127.0.0.1:0", "seeds": ["127.0.0.1:@A"]}}"""
ADVERTISED = """{"listen": "127.0.0.1:0", "learn_ms": 0, "membership": {"cluster": "c1",
 "listen": "127.0.0.1:0", "advertise": "127.0.0.9:7777", "seeds": ["127.0.0.1:@A"]}}"""

# Rows: what a datagram says of a member

ME = '["@ME","127.0.0.1",@PORT,@INC,0,{"kind":"registry"}]'
ME_NEXT = '["@ME","127.0.0.1",@PORT,@NEXT,0,{"kind":"registry"}]'
ME_LEFT = '["@ME","127.0.0.1",@PORT,@NEXT,3,{"kind":"registry"}]'
ME_SUSPECT = '["@ME","127.0.0.1",@PORT,@INC,1,{"kind":"registry"},["peer-a"]]'
A = '["peer-a","127.0.0.1",@A,7,0,{"kind":"gateway","config":"d1"}]'
B = '["peer-b","127.0.0.1",@B,8,0,{}]'
B_SUSPECT = '["peer-b","127.0.0.1",@B,8,1,{},["peer-a"]]'
B_SUSPECT_BY_ME = '["peer-b","127.0.0.1",@B,8,1,{},["@ME"]]'
B_DEAD = '["peer-b","127.0.0.1",@B,8,2,{}]'
B_LEFT = '["peer-b","127.0.0.1",@B,9,3,{}]'
ROWS = (ME, ME_NEXT, A, B, B_SUSPECT, B_SUSPECT_BY_ME)

# Datagrams that it writes

HEAD = '{"c":"c1","f":"@ME","a":["127.0.0.1",@PORT],'
JOIN = HEAD + '"k":"sync","s":0,"r":[' + ME + '],"w":1}'
ALL = HEAD + '"k":"more","s":0,"r":[' + ME + "," + A + "," + B + '],"w":1}'
ACK = HEAD + '"k":"ack","s":5,"r":[@ROWS]}'
PING_A = HEAD + '"k":"ping","s":@SEQ,"r":[@ROWS],"target":"peer-a"}'
PING_B = HEAD + '"k":"ping","s":@SEQ,"r":[@ROWS],"target":"peer-b"}'
ASK = HEAD + '"k":"ask","s":@SEQ,"r":[@ROWS],"target":"peer-b"}'
ACK_FOR_ANOTHER = HEAD + '"k":"ack","s":77,"r":[@ROWS]}'
NOTICE = HEAD + '"k":"more","s":0,"r":[' + B_DEAD + "]}"

# Datagrams that the others write, which are the same forms

BY_A = '{"c":"c1","f":"peer-a","a":["127.0.0.1",@A],'
BY_B = '{"c":"c1","f":"peer-b","a":["127.0.0.1",@B],'
A_PINGS = BY_A + '"k":"ping","s":5,"r":[' + A + '],"target":"@ME"}'
A_SYNCS = BY_A + '"k":"sync","s":0,"r":[' + A + "," + B + '],"w":1}'
A_ASKS = BY_A + '"k":"ask","s":77,"r":[],"target":"peer-b"}'
A_ACKS = BY_A + '"k":"ack","s":@SEQ,"r":[]}'
B_ACKS = BY_B + '"k":"ack","s":@SEQ,"r":[]}'

MEMBERS = (
    '{"cluster": "c1", "name": "@ME", "members": [{"name": "peer-a", "address": "127.0.0.1:@A", '
    '"state": "alive", "for": @FOR, "incarnation": 7, "accusers": [], "through": false, "kind": "gateway", '
    '"config": "d1"}, {"name": "peer-b", "address": "127.0.0.1:@B", "state": "alive", "for": @FOR, '
    '"incarnation": 8, "accusers": [], "through": false}, {"name": "@ME", "address": "127.0.0.1:@PORT", '
    '"state": "alive", "for": @FOR, "incarnation": @INC, "accusers": [], "through": false, '
    '"kind": "registry"}], "disagree": [], "health": 0, "version": 2, "late": @LATE, "silent": 0.0, '
    '"overflows": 0, "counts": {"sent": @SENT, "foreign": 0, "refuted": 0, "clashes": 0}}'
)


class Peer:
    """A socket that plays a member: keeps what comes, and acks probes if it shall."""

    def __init__(self, cluster, acks):
        self.cluster, self.acks, self.raw = cluster, acks, []
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(0.05)
        self.port = self.socket.getsockname()[1]
        self.open = True
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        while self.open:
            try:
                data, sender = self.socket.recvfrom(65536)
            except TimeoutError:
                continue
            self.raw.append((data.decode(), sender))
            if self.acks and (probe := re.search(r'"k":"ping","s":(\d+),', data.decode())):
                self.tell(self.acks.replace("@SEQ", probe[1]))

    def tell(self, text):
        self.socket.sendto(self.cluster.filled(text).encode(), ("127.0.0.1", self.cluster.values["@PORT"]))

    def seen(self):
        return [self.cluster.told(text) for text, _ in list(self.raw)]

    def wait(self, expected):
        until(lambda: expected in self.seen())

    def close(self):
        self.open = False
        if self.thread.ident:
            self.thread.join(timeout=5)
        self.socket.close()


class Cluster:
    """The list service as a member, seen by two others."""

    def __init__(self, folder, a_acks=A_ACKS, b_acks=B_ACKS, config=CONFIG):
        self.folder, self.config, self.values = folder, config, {}
        self.a, self.b = Peer(self, a_acks), Peer(self, b_acks)
        self.values = {"@A": self.a.port, "@B": self.b.port}

    def __enter__(self):
        path = self.folder / "registry.json"
        path.write_text(self.filled(self.config))
        self.context = running(REGISTRY, path)
        self.process = self.context.__enter__()
        # Its first datagram comes to its seed.
        self.a.socket.settimeout(20)
        data, sender = self.a.socket.recvfrom(65536)
        self.a.socket.settimeout(0.05)
        self.a.raw.append((data.decode(), sender))
        incarnation = int(re.search(r",(1\d{12}),", data.decode())[1])
        self.values |= {"@ME": f"registry-127.0.0.1:{self.process.port}", "@PORT": sender[1]}
        self.values |= {"@INC": incarnation, "@NEXT": incarnation + 1}
        self.a.thread.start()
        self.b.thread.start()
        return self

    def filled(self, text):
        for key, value in self.values.items():
            text = text.replace(key, str(value))
        return text

    def told(self, text):
        """What came, with the names of what differs from run to run."""
        for row in sorted(ROWS, key=len):
            text = text.replace(self.filled(row), "@ROW")
        if '"w":1' not in text:
            text = re.sub(r"@ROW(,@ROW)*", "@ROWS", text)
        text = re.sub(r'("k":"(?:ping|ask)","s":)\d+,', r"\1@SEQ,", text)
        return self.named(text)

    def named(self, text):
        """The longest first: the digits of a port may stand in an incarnation."""
        for key, value in sorted(self.values.items(), key=lambda item: -len(str(item[1]))):
            text = text.replace(str(value), key)
        return text

    def raw(self, peer):
        """What came as it is, but for names, ports and incarnations."""
        return [self.named(text) for text, _ in list(peer.raw)]

    def end(self):
        self.context.__exit__(None, None, None)

    def __exit__(self, *_):
        self.end()
        self.a.close()
        self.b.close()


def test_it_joins_with_a_sync(tmp_path):
    with Cluster(tmp_path) as cluster:
        assert cluster.raw(cluster.a)[0] == JOIN


def test_it_names_the_address_that_it_advertises(tmp_path):
    with Cluster(tmp_path, config=ADVERTISED) as cluster:
        advertised = JOIN.replace('"127.0.0.1",@PORT', '"127.0.0.9",7777')
        assert cluster.raw(cluster.a)[0] == advertised


def test_a_sync_is_read_and_written_back_with_all_that_is_known(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS)
        until(lambda: ALL in cluster.raw(cluster.a))
        cluster.a.wait(PING_A)  # and both are probed from then on
        cluster.b.wait(PING_B)


def test_a_ping_is_read_and_acked(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_PINGS)
        cluster.a.wait(ACK)


def test_who_asks_gets_the_ack_of_the_member_that_was_meant(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS)
        until(lambda: ALL in cluster.raw(cluster.a))
        cluster.a.tell(A_ASKS)
        cluster.b.wait(PING_B)
        cluster.a.wait(ACK_FOR_ANOTHER)


def test_without_an_ack_others_are_asked_and_the_member_is_accused(tmp_path):
    with Cluster(tmp_path, b_acks=None) as cluster:
        cluster.a.tell(A_SYNCS)
        cluster.a.wait(ASK)
        until(lambda: any(B_SUSPECT_BY_ME in text for text in cluster.raw(cluster.a)))
        until(lambda: any(B_SUSPECT_BY_ME in text for text in cluster.raw(cluster.b)))


def members(cluster):
    status, _, body = cluster.process.call("GET /members")
    assert status == 200
    return {row["name"]: row for row in json.loads(body)["members"]}


def test_the_word_of_another_that_one_is_suspect_is_read_and_passed_on(tmp_path):
    with Cluster(tmp_path, b_acks=None) as cluster:
        cluster.a.tell(A_SYNCS)
        until(lambda: ALL in cluster.raw(cluster.a))
        cluster.a.tell(BY_A + '"k":"more","s":0,"r":[' + B_SUSPECT + "]}")
        until(lambda: any(B_SUSPECT in text for text in cluster.raw(cluster.b)))
        row = members(cluster)["peer-b"]
        assert row["state"] == "suspect" and row["accusers"][:1] == ["peer-a"]


def test_one_that_others_hold_dead_is_told_so(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS)
        until(lambda: ALL in cluster.raw(cluster.a))
        cluster.a.tell(BY_A + '"k":"more","s":0,"r":[' + B_DEAD + '],"w":1}')
        until(lambda: NOTICE in cluster.raw(cluster.b))


def test_one_that_left_is_read_as_such_and_written_back(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS)
        until(lambda: ALL in cluster.raw(cluster.a))
        cluster.a.tell(BY_A + '"k":"more","s":0,"r":[' + B_LEFT + "]}")
        cluster.a.tell(BY_A + '"k":"sync","s":0,"r":[],"w":1}')
        until(lambda: ALL.replace(B, B_LEFT) in cluster.raw(cluster.a))
        assert members(cluster)["peer-b"]["state"] == "left"


def test_it_refutes_with_its_next_incarnation(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS)
        until(lambda: ALL in cluster.raw(cluster.a))
        cluster.a.tell(BY_A + '"k":"more","s":0,"r":[' + ME_SUSPECT + "]}")
        until(lambda: any(ME_NEXT in text for text in cluster.raw(cluster.a)))
        status = cluster.process.call("GET /members")[2]
        assert b'"refuted": 1' in status


def test_it_says_that_it_leaves(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS)
        until(lambda: ALL in cluster.raw(cluster.a))
        cluster.end()
        rows = r"(?:\[.*\],)?" + re.escape(ME_LEFT) + r"(?:,\[.*\])?\]\}$"
        left = re.compile(re.escape(HEAD + '"k":"more","s":0,"r":[') + rows)
        for peer in (cluster.a, cluster.b):
            until(lambda peer=peer: any(left.match(text) for text in cluster.raw(peer)))


def test_another_clusters_datagram_has_no_effect(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS.replace('"c1"', '"c2"'))
        until(lambda: b'"foreign": 1' in cluster.process.call("GET /members")[2])
        assert list(members(cluster)) == [cluster.values["@ME"]]


def test_what_operators_see(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.tell(A_SYNCS)
        cluster.b.wait(PING_B)
        status, headers, body = cluster.process.call("GET /members")
        assert (status, headers) == (200, json_headers(body))
        text = cluster.named(body.decode())
        text = re.sub(r'"for": \d+\.\d,', '"for": @FOR,', text)
        text = re.sub(r'"late": \d+\.\d+,', '"late": @LATE,', text)
        text = re.sub(r'"sent": \d+,', '"sent": @SENT,', text)
        assert text == MEMBERS


@on_loop
async def test_a_gateway_says_of_itself_its_kind_places_and_digest_of_its_configuration(tmp_path):
    """With the key of its configuration."""
    with socket.socket(type=socket.SOCK_DGRAM) as seed:
        seed.bind(("127.0.0.1", 0))
        seed.settimeout(20)
        key = {"cluster": "c1", "listen": "127.0.0.1:0", "seeds": [f"127.0.0.1:{seed.getsockname()[1]}"]}
        async with Node(path=tmp_path, config_overrides={"name": "gateway-a", "membership": key}):
            data, sender = await asyncio.to_thread(seed.recvfrom, 65536)
    text = re.sub(r",1\d{12},", ",@INC,", data.decode())
    text = re.sub(r'"config":"[0-9a-f]+"', '"config":"@DIGEST"', text).replace(str(sender[1]), "@PORT")
    assert text == (
        '{"c":"c1","f":"gateway-a","a":["127.0.0.1",@PORT],"k":"sync","s":0,"r":[["gateway-a","127.0.0.1",@PORT,'
        '@INC,0,{"kind":"gateway","listen":"127.0.0.1:0",'
        '"control":"127.0.0.1:0","config":"@DIGEST"}]],"w":1}'
    )

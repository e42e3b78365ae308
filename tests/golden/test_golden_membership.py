"""Wire formats of membership, as written by commit 127d781.

Covered are each kind of datagram with each format of a row, the configuration key and `GET /members`. None of
it is stored: incarnations continue from the clock.

A list service that is a member runs as a process, and sockets play two other members. No names of classes or
attributes are used except for the gateway that `netkit` starts. Compared texts contain @ME for the service's
name, @PORT for its port, @INC for its first incarnation (the clock's milliseconds), @NEXT for the next one,
@A and @B for the other members' ports, @SEQ for the sequence number of its probes, which starts at random,
and @ROWS for one or more of the rows listed here, since which updates a datagram carries depends on timing.
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

# Rows: a datagram's description of a member

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

# Datagrams that the service sends

HEAD = '{"c":"c1","f":"@ME","a":["127.0.0.1",@PORT],'
JOIN = HEAD + '"k":"sync","s":0,"r":[' + ME + '],"w":1}'
ALL_MEMBERS = HEAD + '"k":"more","s":0,"r":[' + ME + "," + A + "," + B + '],"w":1}'
ACK = HEAD + '"k":"ack","s":5,"r":[@ROWS]}'
PING_A = HEAD + '"k":"ping","s":@SEQ,"r":[@ROWS],"target":"peer-a"}'
PING_B = HEAD + '"k":"ping","s":@SEQ,"r":[@ROWS],"target":"peer-b"}'
INDIRECT_PROBE = HEAD + '"k":"ask","s":@SEQ,"r":[@ROWS],"target":"peer-b"}'
ACK_FOR_ANOTHER = HEAD + '"k":"ack","s":77,"r":[@ROWS]}'
DEATH_NOTICE = HEAD + '"k":"more","s":0,"r":[' + B_DEAD + "]}"

# Datagrams that the other members send, in the same formats

BY_A = '{"c":"c1","f":"peer-a","a":["127.0.0.1",@A],'
BY_B = '{"c":"c1","f":"peer-b","a":["127.0.0.1",@B],'
A_PINGS = BY_A + '"k":"ping","s":5,"r":[' + A + '],"target":"@ME"}'
A_SYNCS = BY_A + '"k":"sync","s":0,"r":[' + A + "," + B + '],"w":1}'
A_REQUESTS_PROBE = BY_A + '"k":"ask","s":77,"r":[],"target":"peer-b"}'
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
    """A socket that plays a member: records datagrams, and acks probes if `acks` is given."""

    def __init__(self, cluster, acks):
        self.cluster, self.acks, self.datagrams = cluster, acks, []
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(0.05)
        self.port = self.socket.getsockname()[1]
        self.is_open = True
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        while self.is_open:
            try:
                data, sender = self.socket.recvfrom(65536)
            except TimeoutError:
                continue
            self.datagrams.append((data.decode(), sender))
            if self.acks and (probe := re.search(r'"k":"ping","s":(\d+),', data.decode())):
                self.send(self.acks.replace("@SEQ", probe[1]))

    def send(self, text):
        self.socket.sendto(self.cluster.fill_in(text).encode(), ("127.0.0.1", self.cluster.values["@PORT"]))

    def masked_datagrams(self):
        return [self.cluster.mask_datagram(text) for text, _ in list(self.datagrams)]

    def wait_for(self, expected):
        until(lambda: expected in self.masked_datagrams())

    def close(self):
        self.is_open = False
        if self.thread.ident:
            self.thread.join(timeout=5)
        self.socket.close()


class Cluster:
    """The list service as a member, and two other members played by sockets."""

    def __init__(self, folder, a_acks=A_ACKS, b_acks=B_ACKS, config=CONFIG):
        self.folder, self.config, self.values = folder, config, {}
        self.a, self.b = Peer(self, a_acks), Peer(self, b_acks)
        self.values = {"@A": self.a.port, "@B": self.b.port}

    def __enter__(self):
        path = self.folder / "registry.json"
        path.write_text(self.fill_in(self.config))
        self.context = running(REGISTRY, path)
        self.process = self.context.__enter__()
        # The service sends its first datagram to its seed.
        self.a.socket.settimeout(20)
        data, sender = self.a.socket.recvfrom(65536)
        self.a.socket.settimeout(0.05)
        self.a.datagrams.append((data.decode(), sender))
        incarnation = int(re.search(r",(1\d{12}),", data.decode())[1])
        self.values |= {"@ME": f"registry-127.0.0.1:{self.process.port}", "@PORT": sender[1]}
        self.values |= {"@INC": incarnation, "@NEXT": incarnation + 1}
        self.a.thread.start()
        self.b.thread.start()
        return self

    def fill_in(self, text):
        for key, value in self.values.items():
            text = text.replace(key, str(value))
        return text

    def mask_datagram(self, text):
        """Return a datagram with placeholders for what differs from run to run."""
        for row in sorted(ROWS, key=len):
            text = text.replace(self.fill_in(row), "@ROW")
        if '"w":1' not in text:
            text = re.sub(r"@ROW(,@ROW)*", "@ROWS", text)
        text = re.sub(r'("k":"(?:ping|ask)","s":)\d+,', r"\1@SEQ,", text)
        return self.mask_values(text)

    def mask_values(self, text):
        """Insert placeholders, longest values first: an incarnation may contain the digits of a port."""
        for key, value in sorted(self.values.items(), key=lambda item: -len(str(item[1]))):
            text = text.replace(str(value), key)
        return text

    def received_by(self, peer):
        """Return the received datagrams with placeholders only for names, ports and incarnations."""
        return [self.mask_values(text) for text, _ in list(peer.datagrams)]

    def stop_service(self):
        self.context.__exit__(None, None, None)

    def __exit__(self, *_):
        self.stop_service()
        self.a.close()
        self.b.close()


def test_it_joins_with_a_sync(tmp_path):
    with Cluster(tmp_path) as cluster:
        assert cluster.received_by(cluster.a)[0] == JOIN


def test_it_sends_its_advertised_address(tmp_path):
    with Cluster(tmp_path, config=ADVERTISED) as cluster:
        advertised = JOIN.replace('"127.0.0.1",@PORT', '"127.0.0.9",7777')
        assert cluster.received_by(cluster.a)[0] == advertised


def test_a_sync_is_answered_with_all_known_members(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS)
        until(lambda: ALL_MEMBERS in cluster.received_by(cluster.a))
        cluster.a.wait_for(PING_A)  # from then on both members are probed
        cluster.b.wait_for(PING_B)


def test_a_ping_is_read_and_acked(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_PINGS)
        cluster.a.wait_for(ACK)


def test_an_indirect_probe_is_answered_with_the_ack_of_its_target(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS)
        until(lambda: ALL_MEMBERS in cluster.received_by(cluster.a))
        cluster.a.send(A_REQUESTS_PROBE)
        cluster.b.wait_for(PING_B)
        cluster.a.wait_for(ACK_FOR_ANOTHER)


def test_a_missing_ack_leads_to_an_indirect_probe_and_suspicion(tmp_path):
    with Cluster(tmp_path, b_acks=None) as cluster:
        cluster.a.send(A_SYNCS)
        cluster.a.wait_for(INDIRECT_PROBE)
        until(lambda: any(B_SUSPECT_BY_ME in text for text in cluster.received_by(cluster.a)))
        until(lambda: any(B_SUSPECT_BY_ME in text for text in cluster.received_by(cluster.b)))


def members(cluster):
    status, _, body = cluster.process.call("GET /members")
    assert status == 200
    return {row["name"]: row for row in json.loads(body)["members"]}


def test_a_suspicion_of_another_member_is_read_and_gossiped(tmp_path):
    with Cluster(tmp_path, b_acks=None) as cluster:
        cluster.a.send(A_SYNCS)
        until(lambda: ALL_MEMBERS in cluster.received_by(cluster.a))
        cluster.a.send(BY_A + '"k":"more","s":0,"r":[' + B_SUSPECT + "]}")
        until(lambda: any(B_SUSPECT in text for text in cluster.received_by(cluster.b)))
        row = members(cluster)["peer-b"]
        assert row["state"] == "suspect" and row["accusers"][:1] == ["peer-a"]


def test_a_member_that_was_declared_dead_is_notified(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS)
        until(lambda: ALL_MEMBERS in cluster.received_by(cluster.a))
        cluster.a.send(BY_A + '"k":"more","s":0,"r":[' + B_DEAD + '],"w":1}')
        until(lambda: DEATH_NOTICE in cluster.received_by(cluster.b))


def test_a_member_that_left_is_read_and_written_back(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS)
        until(lambda: ALL_MEMBERS in cluster.received_by(cluster.a))
        cluster.a.send(BY_A + '"k":"more","s":0,"r":[' + B_LEFT + "]}")
        cluster.a.send(BY_A + '"k":"sync","s":0,"r":[],"w":1}')
        until(lambda: ALL_MEMBERS.replace(B, B_LEFT) in cluster.received_by(cluster.a))
        assert members(cluster)["peer-b"]["state"] == "left"


def test_it_refutes_with_its_next_incarnation(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS)
        until(lambda: ALL_MEMBERS in cluster.received_by(cluster.a))
        cluster.a.send(BY_A + '"k":"more","s":0,"r":[' + ME_SUSPECT + "]}")
        until(lambda: any(ME_NEXT in text for text in cluster.received_by(cluster.a)))
        status = cluster.process.call("GET /members")[2]
        assert b'"refuted": 1' in status


def test_it_announces_that_it_leaves(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS)
        until(lambda: ALL_MEMBERS in cluster.received_by(cluster.a))
        cluster.stop_service()
        rows = r"(?:\[.*\],)?" + re.escape(ME_LEFT) + r"(?:,\[.*\])?\]\}$"
        leave_datagram = re.compile(re.escape(HEAD + '"k":"more","s":0,"r":[') + rows)
        for peer in (cluster.a, cluster.b):
            until(lambda peer=peer: any(leave_datagram.match(text) for text in cluster.received_by(peer)))


def test_another_clusters_datagram_has_no_effect(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS.replace('"c1"', '"c2"'))
        until(lambda: b'"foreign": 1' in cluster.process.call("GET /members")[2])
        assert list(members(cluster)) == [cluster.values["@ME"]]


def test_members_call_for_operators(tmp_path):
    with Cluster(tmp_path) as cluster:
        cluster.a.send(A_SYNCS)
        cluster.b.wait_for(PING_B)
        status, headers, body = cluster.process.call("GET /members")
        assert (status, headers) == (200, json_headers(body))
        text = cluster.mask_values(body.decode())
        text = re.sub(r'"for": \d+\.\d,', '"for": @FOR,', text)
        text = re.sub(r'"late": \d+\.\d+,', '"late": @LATE,', text)
        text = re.sub(r'"sent": \d+,', '"sent": @SENT,', text)
        assert text == MEMBERS


@on_loop
async def test_a_gateway_announces_its_kind_addresses_and_configuration_digest(tmp_path):
    """The gateway joins as the membership key of its configuration says."""
    with socket.socket(type=socket.SOCK_DGRAM) as seed:
        seed.bind(("127.0.0.1", 0))
        seed.settimeout(20)
        membership_settings = {
            "cluster": "c1",
            "listen": "127.0.0.1:0",
            "seeds": [f"127.0.0.1:{seed.getsockname()[1]}"],
        }
        async with Node(
            path=tmp_path, config_overrides={"name": "gateway-a", "membership": membership_settings}
        ):
            data, sender = await asyncio.to_thread(seed.recvfrom, 65536)
    text = re.sub(r",1\d{12},", ",@INC,", data.decode())
    text = re.sub(r'"config":"[0-9a-f]+"', '"config":"@DIGEST"', text).replace(str(sender[1]), "@PORT")
    assert text == (
        '{"c":"c1","f":"gateway-a","a":["127.0.0.1",@PORT],"k":"sync","s":0,"r":[["gateway-a","127.0.0.1",@PORT,'
        '@INC,0,{"kind":"gateway","listen":"127.0.0.1:0",'
        '"control":"127.0.0.1:0","config":"@DIGEST"}]],"w":1}'
    )

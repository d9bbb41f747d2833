import { defaultMembershipSettings, Membership, Random } from '@chervilseam/decisions';
import type { Member, MembershipMessage } from '@chervilseam/decisions';
import { Encoder } from 'cbor-x';

/** Cost of the heartbeats of one instance in a group of some size. */
interface MembershipMeasure {
  readonly instances: number;
  /** Datagrams sent, with authentication tags and UDP/IP headers. */
  readonly sentBytesPerSecond: number;
  /** Datagrams received, counted in the same way. */
  readonly receivedBytesPerSecond: number;
  /** Processor time, as a fraction of one core. */
  readonly coreShare: number;
  /** Memory of the membership state. */
  readonly heapBytes: number;
}

/** Size of the authentication tag of a datagram. */
const TAG_BYTES = 16;
/** Size of the IPv4 and UDP headers of a datagram. */
const UDP_HEADER_BYTES = 28;
/** Simulated time. */
const DURATION_MS = 60_000;
const TICK_MS = 50;
const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
/**
 * Membership changes per day at the target size: failures and restarts, each of which is two changes,
 * a leave or death and a return.
 */
const MEMBER_CHANGES_PER_DAY = 2 * (240 + 9);

const encoder = new Encoder({ useRecords: false });

const memberOf = (index: number, incarnation: number): Member => ({
  name: `instance-${index}`,
  host: '10.0.0.1',
  port: 7_000 + index,
  failureDomain: `domain-${index % 4}`,
  region: `region-${index % 2}`,
  size: 1,
  life: `instance-${index}-0123456789ab`,
  incarnation,
  state: 'alive',
});

/**
 * Runs the membership state machine of one instance with the messages that the other instances would
 * send, at the rate of membership changes of the target size.
 *
 * @param instances - number of instances in the group
 * @returns the figures
 */
export function measureMembershipState(instances: number): MembershipMeasure {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const random = new Random(7);
  const members = Array.from({ length: instances }, (_, index) => memberOf(index, 1));
  const node = new Membership(members[0], defaultMembershipSettings, new Random(1));
  members.slice(1).forEach((member) => {
    const rumor = { key: `member/${member.name}`, version: [1, 0] as const, value: member };
    node.applyRumor(rumor, 0, false);
  });
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  const byteCounts = { sent: 0, received: 0 };
  const sizeOf = (message: MembershipMessage): number =>
    encoder.encode(message).length + TAG_BYTES + UDP_HEADER_BYTES;
  const { periodMs } = defaultMembershipSettings;
  const changesPerMs = MEMBER_CHANGES_PER_DAY / SECONDS_PER_DAY / MS_PER_SECOND;
  let incarnation = 1;
  let changes = 0;
  let sequence = 0;
  const startUs = process.cpuUsage();
  for (let nowMs = TICK_MS; nowMs <= DURATION_MS; nowMs += TICK_MS) {
    changes += changesPerMs * TICK_MS;
    const changed: Member[] = [];
    while (changes >= 1) {
      changes -= 1;
      incarnation += 1;
      changed.push(memberOf(1 + random.below(instances - 1), incarnation));
    }
    const rumors = changed.map((member) => ({
      key: `member/${member.name}`,
      version: [member.incarnation, 0] as const,
      value: member,
    }));
    const outgoing = node.tick(nowMs);
    // Each instance pings one member per period, so this one receives one ping per period on average.
    if (nowMs % periodMs === 0) {
      sequence += 1;
      const from = `instance-${1 + random.below(instances - 1)}`;
      const ping: MembershipMessage = { type: 'ping', from, sequence, rumors };
      byteCounts.received += sizeOf(ping);
      outgoing.push(...node.receive(ping, nowMs));
    }
    outgoing.forEach(({ to, message }) => {
      byteCounts.sent += sizeOf(message);
      if (message.type !== 'ping') return;
      const known = message.rumors.map(({ key }) => key);
      const ack: MembershipMessage = {
        type: 'ack',
        from: to.name,
        sequence: message.sequence,
        rumors: [],
        known,
      };
      byteCounts.received += sizeOf(ack);
      node.receive(ack, nowMs);
    });
  }
  const total = process.cpuUsage(startUs);
  const cpuUs = total.user + total.system;
  const seconds = DURATION_MS / MS_PER_SECOND;
  return {
    instances,
    sentBytesPerSecond: byteCounts.sent / seconds,
    receivedBytesPerSecond: byteCounts.received / seconds,
    coreShare: cpuUs / 1e6 / seconds,
    heapBytes,
  };
}

/**
 * Published records of another shape, as another build may publish them, count as not published and stop
 * nothing.
 */
import test from 'ava';
import { VirtualClock } from '@canvasridge/clock';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import { PeerRecordReader, peerRecords } from '../src/cluster/peer-records.js';

function startReader(): { reader: PeerRecordReader; lines: string[] } {
  const lines: string[] = [];
  const logger = new EventLogger('n1', 'info', (line) => lines.push(line));
  const telemetry = new Telemetry({ processName: 'n1', clock: new VirtualClock(), logger });
  return { reader: new PeerRecordReader(telemetry), lines };
}

const KNOWN = { quarantined: [['print', 4]], suspects: ['other'] };

test('a record of the shape that this build publishes is read, and unknown fields are ignored', (t) => {
  const { reader, lines } = startReader();
  const later = { ...KNOWN, quarantined: [['print', 4, 'later']], level: 2 };
  for (const value of [KNOWN, later]) {
    const read = reader.read(peerRecords.quarantine, { key: 'quarantine', owner: 'n2', value });
    t.is(read?.quarantined[0]?.[0], 'print');
    t.deepEqual(read?.suspects, ['other']);
  }
  t.deepEqual(lines, []);
});

test('a record of another shape counts as not published, and is logged once', (t) => {
  const { reader, lines } = startReader();
  const values: unknown[] = [
    {},
    [],
    { quarantined: {}, suspects: [] },
    { quarantined: [[1, 2]], suspects: [] },
  ];
  for (const value of values) {
    for (let index = 0; index < 3; index += 1) {
      t.is(reader.read(peerRecords.quarantine, { key: 'quarantine', owner: 'n2', value }), undefined);
    }
  }
  t.is(lines.length, values.length);
});

test('a record that was withdrawn, or whose value is not an object, counts as not published', (t) => {
  const { reader, lines } = startReader();
  for (const value of [null, undefined, 'text', 7]) {
    t.is(reader.read(peerRecords.claim, { key: 'lead/llm', owner: 'n2', value }), undefined);
  }
  t.deepEqual(lines, []);
});

import test from 'ava';
import { ConnectionTable } from '../src/http/connection-table.js';

interface Connection {
  readonly name: string;
  bytesRead: number;
}

function connection(name: string): Connection {
  return { name, bytesRead: 0 };
}

/** A table of three connections that is full. */
function fullTable(): { table: ConnectionTable<Connection>; all: [Connection, Connection, Connection] } {
  const table = new ConnectionTable<Connection>(3);
  const all: [Connection, Connection, Connection] = [connection('a'), connection('b'), connection('c')];
  for (const each of all) table.admit(each);
  return { table, all };
}

test('a full connection table closes the connection that has been silent for longest', (t) => {
  const { table, all } = fullTable();
  all[0].bytesRead = 10_000;
  t.deepEqual(table.admit(connection('d')), { kind: 'instead-of', connection: all[1] });
  t.deepEqual(table.admit(connection('e')), { kind: 'instead-of', connection: all[2] });
  t.deepEqual(table.admit(connection('f')), { kind: 'instead-of', connection: all[0] });
  t.is(table.size, 3);
});

test('a full connection table closes those without an answer before those with one', (t) => {
  const { table, all } = fullTable();
  const [a, b, c] = all;
  table.requestReceived(a);
  table.responseSent(a, false);
  table.requestReceived(b);
  table.responseSent(b, true);
  t.deepEqual(table.admit(connection('d')), { kind: 'instead-of', connection: c });
  t.deepEqual(table.admit(connection('e')), { kind: 'instead-of', connection: b });
});

test('a connection that has had an answer keeps its place when a later request is refused', (t) => {
  const { table, all } = fullTable();
  const [a, b] = all;
  for (const refused of [false, true]) {
    table.requestReceived(a);
    table.responseSent(a, refused);
  }
  t.deepEqual(table.admit(connection('d')), { kind: 'instead-of', connection: b });
});

test('a connection table refuses newcomers while requests run on all connections', (t) => {
  const { table, all } = fullTable();
  for (const each of all) table.requestReceived(each);
  t.deepEqual(table.admit(connection('d')), { kind: 'refused' });
  table.responseSent(all[1], false);
  t.deepEqual(table.admit(connection('e')), { kind: 'instead-of', connection: all[1] });
  table.remove(all[0]);
  t.deepEqual(table.admit(connection('f')), { kind: 'admitted' });
});

test('a connection table ignores what it hears of connections that it does not hold', (t) => {
  const { table, all } = fullTable();
  table.remove(all[0]);
  table.requestReceived(all[0]);
  table.responseSent(all[0], false);
  t.is(table.size, 2);
});

test('a connection table ends its search when all connections have received something', (t) => {
  const { table, all } = fullTable();
  for (const each of all) each.bytesRead = 10_000;
  t.deepEqual(table.admit(connection('d')), { kind: 'instead-of', connection: all[0] });
});

'use strict';

/* The document that the forms edit, and the generation it was made from. */
let doc = null;
let base = null;
let section = 'callers';

const byId = (id) => document.getElementById(id);

/* Columns of the forms: name, type, and the path within an entry. */
const LIST = 'list';
const TEXT = 'text';
const NUMBER = 'number';
const FLAG = 'flag';

const limits = [
	['requests a second', NUMBER, ['limits', 'requests_per_second']],
	['concurrent', NUMBER, ['limits', 'concurrent_requests']],
	['queued', NUMBER, ['limits', 'queued_requests']],
];

const forms = {
	callers: [
		['name', TEXT, ['name']],
		['SHA-256 of tokens', LIST, ['token_sha256']],
		['adapters', LIST, ['adapters']],
		['services', LIST, ['services']],
		['priority', NUMBER, ['priority']],
		...limits,
	],
	services: [
		['name', TEXT, ['name']],
		['kind', ['engine', 'plain'], ['kind']],
		['base model', TEXT, ['base_model']],
		['path', TEXT, ['path']],
		['loads a second', NUMBER, ['weight_store', 'loads_per_second']],
		['loads in transit', NUMBER, ['weight_store', 'loads_in_transit']],
		...limits,
	],
	endpoints: [
		['id', TEXT, ['id']],
		['service', TEXT, ['service']],
		['address', TEXT, ['address']],
		['port', NUMBER, ['port']],
		['region', TEXT, ['region']],
		['failure domain', TEXT, ['failure_domain']],
		['adapter slots', NUMBER, ['adapter_slots']],
		['concurrent requests', NUMBER, ['concurrent_requests']],
		['checks fencing', FLAG, ['checks_fencing']],
		['checks orders', FLAG, ['checks_orders']],
		['order token', TEXT, ['order_token']],
	],
	rounds: [
		['name', TEXT, ['name']],
		['adapters, in their order', LIST, ['adapters']],
		['likelihood', NUMBER, ['likelihood']],
	],
	operators: [
		['name', TEXT, ['name']],
		['role', ['viewer', 'editor'], ['role']],
		['SHA-256 of tokens', LIST, ['token_sha256']],
	],
};

const sections = ['adapters', 'callers', 'services', 'endpoints', 'operators',
		  'rounds', 'regions', 'weight'];

const emptyDocument = () => ({
	format: 1, batch_weight: 0.5, regions: {}, base_models: {},
	services: [], endpoints: [], callers: [], operators: [],
});

/* JSON with comments: strings are kept, comments become spaces. */
function parseDocument(text) {
	const pattern = /"(?:\\.|[^"\\])*"|\/\/[^\n]*|\/\*[^]*?\*\//g;
	const bare = text.replace(pattern, (m) => m[0] === '"' ? m : ' ');

	return JSON.parse(bare);
}

/* One line for each entry, so that a change rewrites few chunks. */
function renderList(items, indent) {
	if (!items.length)
		return '[]';
	const lines = items.map((item) => indent + '\t' + JSON.stringify(item));

	return '[\n' + lines.join(',\n') + '\n' + indent + ']';
}

function renderModels(models) {
	const parts = Object.entries(models).map(([name, model]) =>
		'\t\t' + JSON.stringify(name) + ': {"adapters": ' +
		renderList(model.adapters || [], '\t\t') + '}');

	return parts.length ? '{\n' + parts.join(',\n') + '\n\t}' : '{}';
}

function renderDocument(value) {
	const parts = Object.entries(value).map(([key, member]) => {
		let text = JSON.stringify(member);

		if (key === 'base_models')
			text = renderModels(member);
		else if (Array.isArray(member))
			text = renderList(member, '\t');
		return '\t' + JSON.stringify(key) + ': ' + text;
	});

	return '{\n' + parts.join(',\n') + '\n}\n';
}

function say(text, isFault) {
	byId('message').textContent = text;
	byId('message').className = isFault ? 'fault' : '';
}

function element(name, properties, ...children) {
	const node = Object.assign(document.createElement(name), properties);

	node.append(...children);
	return node;
}

function getAt(entry, path) {
	return path.reduce((at, key) => at === undefined ? at : at[key], entry);
}

function setAt(entry, path, value) {
	const [key, ...rest] = path;

	if (!rest.length) {
		if (value === undefined)
			delete entry[key];
		else
			entry[key] = value;
		return;
	}
	entry[key] = entry[key] || {};
	setAt(entry[key], rest, value);
	if (!Object.keys(entry[key]).length)
		delete entry[key];
}

function showText() {
	byId('text').value = doc ? renderDocument(doc) : '';
}

/* What is no number stays as it was typed, for the validation to name it. */
function readNumber(text) {
	const trimmed = text.trim();

	if (trimmed === '')
		return undefined;
	return Number.isFinite(Number(trimmed)) ? Number(trimmed) : trimmed;
}

function countOf(number, one) {
	return number + ' ' + one + (number === 1 ? '' : 's');
}

function splitLines(text) {
	const lines = text.split('\n').map((line) => line.trim());

	return lines.filter((line) => line);
}

function field(entry, type, path) {
	const value = getAt(entry, path);
	let input;
	let read;

	if (type === FLAG) {
		input = element('input', {type: 'checkbox', checked: !!value});
		read = () => input.checked || undefined;
	} else if (type === LIST) {
		input = element('textarea', {rows: 3, value: (value || []).join('\n')});
		read = () => {
			const lines = splitLines(input.value);

			return lines.length ? lines : undefined;
		};
	} else if (Array.isArray(type)) {
		input = element('select', {}, ...type.map((name) =>
			element('option', {textContent: name})));
		input.value = value;
		read = () => input.value;
	} else {
		input = element('input', {
			value: value === undefined ? '' : value,
			className: type === NUMBER ? 'number' : ''});
		read = () => type === NUMBER ? readNumber(input.value) :
			input.value || undefined;
	}
	input.addEventListener('change', () => {
		setAt(entry, path, read());
		showText();
	});
	return input;
}

function removeButton(list, index) {
	return element('button', {textContent: 'Remove', onclick: () => {
		list.splice(index, 1);
		show();
	}});
}

function showEntries(name) {
	const columns = forms[name];
	const list = doc[name] || [];
	const head = element('tr', {}, ...columns.map(([title]) =>
		element('th', {textContent: title})));
	const rows = list.map((entry, index) =>
		element('tr', {}, ...columns.map(([, type, path]) =>
			element('td', {}, field(entry, type, path))),
			element('td', {}, removeButton(list, index))));
	const add = element('button', {textContent: 'Add', onclick: () => {
		doc[name] = list;
		list.push(name === 'services' ? {kind: 'engine'} :
			name === 'operators' ? {role: 'viewer'} : {});
		show();
	}});

	byId('form').replaceChildren(element('table', {}, head, ...rows), add);
}

/* A large text for each member of an object, one item on a line. */
function showGroups(object, label, read, write) {
	const groups = Object.keys(object).map((name) => {
		const area = element('textarea', {
			rows: 12, value: read(object[name]).join('\n')});

		area.addEventListener('change', () => {
			object[name] = write(splitLines(area.value));
			showText();
		});
		return element('div', {},
			element('h2', {textContent: name}), area,
			element('button', {textContent: 'Remove', onclick: () => {
				delete object[name];
				show();
			}}));
	});
	const name = element('input', {placeholder: label});
	const add = element('button', {textContent: 'Add', onclick: () => {
		if (name.value)
			object[name.value] = write([]);
		show();
	}});

	byId('form').replaceChildren(...groups, name, add);
}

function showAdapters() {
	showGroups(doc.base_models, 'name of a base model',
		(model) => model.adapters || [],
		(lines) => ({adapters: lines}));
	byId('form').prepend(element('p', {textContent:
		'One adapter on a line: name@version,version or ' +
		'name-{001..250}@1'}));
}

function showRegions() {
	showGroups(doc.regions, 'name of a region', (names) => names,
		(lines) => lines);
	byId('form').prepend(element('p', {textContent:
		'The failure domains of each region, one on a line.'}));
}

function showWeight() {
	const value = element('output', {textContent: doc.batch_weight});
	const slider = element('input', {type: 'range', min: 0, max: 1,
		step: 0.05, value: doc.batch_weight});

	slider.addEventListener('input', () => {
		doc.batch_weight = Number(slider.value);
		value.textContent = slider.value;
		showText();
	});
	byId('form').replaceChildren('fewest load stalls ', slider,
		' fullest batches: ', value);
}

function showTabs() {
	byId('tabs').replaceChildren(...sections.map((name) =>
		element('button', {
			textContent: name,
			className: name === section ? 'chosen' : '',
			onclick: () => { section = name; show(); },
		})));
}

function show() {
	showTabs();
	showText();
	byId('base').textContent = base === null ? 'no document loaded' :
		'made from generation ' + base;
	if (!doc)
		byId('form').replaceChildren('Load the document to edit it.');
	else if (section === 'adapters')
		showAdapters();
	else if (section === 'regions')
		showRegions();
	else if (section === 'weight')
		showWeight();
	else
		showEntries(section);
}

function showReport(columns, rows) {
	const head = element('tr', {}, ...columns.map((name) =>
		element('th', {textContent: name})));

	byId('report').replaceChildren(head, ...rows.map((row) =>
		element('tr', {}, ...columns.map((name) =>
			element('td', {textContent:
				row[name] === undefined ? '' : row[name]})))));
}

async function call(method, path, headers, body) {
	const answer = await fetch(path, {method, body, headers: Object.assign(
		{authorization: 'Bearer ' + byId('token').value}, headers)});

	return {answer, text: await answer.text()};
}

function showAnswer(answer, value) {
	const fault = value.error;

	say(fault ? fault.message : 'HTTP status ' + answer.status, !answer.ok);
	if (value.faults)
		showReport(['path', 'line', 'cause', 'remedy'], value.faults);
	else if (value.differences)
		showReport(['kind', 'path', 'before', 'after'], value.differences);
	else
		byId('report').replaceChildren();
}

async function ask(method, path, headers) {
	const {answer, text} = await call(method, path, headers || {},
		method === 'GET' ? undefined : byId('text').value);
	const value = JSON.parse(text);

	showAnswer(answer, value);
	return answer.ok ? value : null;
}

async function load() {
	const {answer, text} = await call('GET', '/admin/document', {});

	if (!answer.ok) {
		showAnswer(answer, JSON.parse(text));
		return;
	}
	doc = parseDocument(text);
	base = Number(answer.headers.get('etag').replace(/"/g, ''));
	say('loaded generation ' + base);
	show();
}

async function validate() {
	const value = await ask('POST', '/admin/validate');

	if (value)
		say(value.valid ? 'no fault' : countOf(value.count, 'fault'), !value.valid);
}

async function compare() {
	const value = await ask('POST', '/admin/diff');

	if (value)
		say(countOf(value.differences.length, 'difference') +
			' from generation ' +
			value.generation);
}

async function commit() {
	if (base === null) {
		say('there is nothing to commit; load the document first', true);
		return;
	}
	const value = await ask('PUT', '/admin/document', {
		'if-match': '"' + base + '"', 'x-commit-note': byId('note').value});

	if (!value)
		return;
	base = value.generation;
	say('accepted as generation ' + base);
	show();
}

async function showHistory() {
	const value = await ask('GET', '/admin/history');

	if (!value)
		return;
	say(countOf(value.generations.length, 'generation') +
		' kept, the newest first');
	showReport(['generation', 'author', 'when', 'note', 'size'],
		value.generations.map((item) => Object.assign(item,
			{when: new Date(item.time).toISOString()})));
}

async function showStatus() {
	const value = await ask('GET', '/admin/status');

	if (!value)
		return;
	say('this instance has generation ' + value.generation + ' in force');
	showReport(['instance', 'program', 'address', 'generation', 'fault'],
		value.programs);
}

function apply() {
	doc = Object.assign(emptyDocument(), parseDocument(byId('text').value));
	base = base === null ? 0 : base;
	show();
}

function start() {
	doc = emptyDocument();
	base = 0;
	show();
}

/* Every failure is shown, also that of a handler that is not awaited. */
function onClick(id, handler) {
	byId(id).addEventListener('click', async () => {
		try {
			await handler();
		} catch (error) {
			say(String(error), true);
		}
	});
}

onClick('load', load);
onClick('start', start);
onClick('validate', validate);
onClick('differences', compare);
onClick('commit', commit);
onClick('history', showHistory);
onClick('status', showStatus);
onClick('apply', apply);
show();

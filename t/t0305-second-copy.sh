#!/bin/sh
# An owner that died has left one adapter in two slots of its engine.  Requests
# that it sent may still run with either copy, so that the next owner may not
# load into the second slot; it loads into the others meanwhile, and no request
# is told that a load has failed.
. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 1

encoded () {
	printf %s "$1" | base64 -w 0
}
copy='{"state":"resident","epoch":1,"adapter":"note-01@1"}'
empty='{"state":"empty","epoch":1}'
record='{"owner":"i9","incarnation":9,"epoch":1,"sequence":1,"hold":0,"held":[],
	"slots":['$copy,$copy,$empty,$empty']}'
curl -sS -o /dev/null "http://$(address kv)/v3/kv/put" \
	-d "{\"key\":\"$(encoded hc/endpoint/assist-1)\",
		\"value\":\"$(encoded "$record")\"}" || fail 'no record written'

start_instance 1 north-a
endpoints=$(engine assist-1 "$(port engines)" north-a)
commit_document
wait_for in_force 1 1
wait_for grep -q '"endpoint taken","endpoint":"assist-1"' "$work/owner1.out"

code_of () {
	ask 1 clerk-token "{\"model\":\"$1\",\"prompt\":\"p\",\"max_tokens\":1}" \
		-o /dev/null -w '%{http_code}\n'
}
wait_for eval 'test "$(code_of note-02@1)" = 200'
expect 'further adapters are loaded beside it' eval \
	'code_of note-03@1; code_of note-02@1' <<\END
200
200
END
not_given () {
	grep -c '"event":"order not given"' "$work/owner1.out"
}
expect 'the slot was tried once' not_given <<\END
1
END
finish

package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log line that gives a wrong age of the version in force, because a call that
// was decided with an earlier version was logged in between.
func TestAgeOfTheVersionInForceSurvivesALateLineOfAnEarlierOne(t *testing.T) {
	is := is.New(t)
	var a versionAge
	a.note(1, 0)
	a.note(2, 10*time.Second)
	a.note(1, 11*time.Second)
	a.note(2, 20*time.Second)
	is.Equal(a.age(20*time.Second), 10*time.Second)
}
